// Declares the placement policy of radishflow: weighted rendezvous with a tail that looks for spare capacity.
#pragma once

#include "radishflow/Placement/placement_request.h"
#include "radishflow/Placement/placement_server.h"
#include "radishflow/Placement/server_ranking.h"

#include <cstddef>
#include <span>

namespace radishflow {

struct bounded_rendezvous_options {
    std::size_t affinityRanks = 2; ///< Ranks tried whatever their known load; the tail heeds it.
    std::size_t remoteRanks = 2; ///< Servers of other regions at the end, when that leaves room beyond the home ranks.
};

/// Ranks servers by weighted rendezvous without any table of chats. The load bound is the owner's to keep: a
/// refusal sends the walk on. Servers of other regions come last, or alone when the request's region has
/// none that admits; a server whose ramp does not take the chat comes after those that do. Thread-safe.
class bounded_rendezvous {
public:
    explicit bounded_rendezvous(bounded_rendezvous_options options = {})
        : m_options(options)
    {
    }

    server_ranking rank(const placement_request&, std::span<const placement_server>, std::size_t most) const;

private:
    bounded_rendezvous_options m_options;
};

} // namespace radishflow
