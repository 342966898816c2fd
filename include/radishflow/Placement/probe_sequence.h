// Declares the order in which a request is sent to the owners of a chat's servers.
#pragma once

#include "radishflow/Placement/placement_attempt.h"
#include "radishflow/Placement/server_ranking.h"

#include <boost/container/small_vector.hpp>

#include <cstddef>
#include <optional>

namespace radishflow {

struct probe_sequence_options {
    std::size_t affinityRanks = 2; ///< First ranks, which are asked for a cached prefix before any server is offered the request.
};

/// Yields the placement attempts of one request. The affinity ranks come first, on the condition that they hold the
/// prefix. If all refuse, those that had room follow without the condition, least loaded first, and then the rest of
/// the ranking; these attempts name a full server that holds the prefix, if one was found. Not thread-safe.
class probe_sequence {
public:
    explicit probe_sequence(server_ranking ranking, probe_sequence_options options = {});

    /// Returns the next attempt, or nothing when all servers have refused.
    std::optional<placement_attempt> next();

    /// Records that the last attempt was refused or that its owner could not be reached.
    void recordRefusal(const owner_refusal&);

private:
    struct fallback_server {
        double load;
        std::uint32_t server;
    };

    server_ranking m_ranking;
    std::size_t m_affinityCount;
    std::size_t m_next = 0; ///< Index into the ranking.
    boost::container::small_vector<fallback_server, 4> m_fallbacks; ///< Affinity ranks with room, least loaded last.
    std::optional<std::uint32_t> m_holder; ///< Earliest affinity rank that holds the prefix and has no room.
    placement_attempt m_lastAttempt;
};

} // namespace radishflow
