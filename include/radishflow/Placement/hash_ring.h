// Declares the baseline policy of a consistent-hash ring.
#pragma once

#include "radishflow/Placement/placement_request.h"
#include "radishflow/Placement/placement_server.h"
#include "radishflow/Placement/server_ranking.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <utility>
#include <vector>

namespace radishflow {

/// Baseline policy: ranks servers by their order after the chat on a ring with 100 points per server of weight 1.
/// Ignores ramp and load. Rebuilds the ring only when the set of servers changes. Not thread-safe.
class hash_ring {
public:
    server_ranking rank(const placement_request&, std::span<const placement_server>, std::size_t maxCount);

private:
    void build(std::span<const placement_server>);

    std::vector<std::pair<std::uint64_t, std::uint32_t>> m_points;
    std::uint64_t m_serverSetHash = 0;
};

} // namespace radishflow
