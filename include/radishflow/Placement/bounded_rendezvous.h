// Declares the placement policy of radishflow: weighted rendezvous hashing, followed by a tail of less loaded servers.
#pragma once

#include "radishflow/Placement/placement_request.h"
#include "radishflow/Placement/placement_server.h"
#include "radishflow/Placement/server_ranking.h"

#include <cstddef>
#include <span>

namespace radishflow {

struct bounded_rendezvous_options {
    std::size_t affinityRanks = 2; ///< First ranks, whose order does not depend on load.
    std::size_t remoteRanks = 2; ///< Servers of other regions at the end; used when maxCount exceeds affinityRanks + remoteRanks.
};

/// Ranks servers by weighted rendezvous hashing, without state per chat. The owner of a server enforces its load
/// bound; after a refusal the caller tries the next rank. Servers of other regions come last, or alone when no
/// server of the request's region accepts requests. Within a region, servers whose ramp does not admit the chat
/// come after the others. Thread-safe.
class bounded_rendezvous {
public:
    explicit bounded_rendezvous(bounded_rendezvous_options options = {})
        : m_options(options)
    {
    }

    server_ranking rank(const placement_request&, std::span<const placement_server>, std::size_t maxCount) const;

private:
    bounded_rendezvous_options m_options;
};

} // namespace radishflow
