// Declares the baseline policy that cycles through the servers.
#pragma once

#include "radishflow/Placement/placement_request.h"
#include "radishflow/Placement/placement_server.h"
#include "radishflow/Placement/server_ranking.h"

#include <cstddef>
#include <span>

namespace radishflow {

/// Baseline policy: each ranking starts one eligible server later than the one before. Not thread-safe.
class round_robin {
public:
    /// Instances should start at different offsets; otherwise all send to the same server at the same time.
    explicit round_robin(std::size_t start = 0)
        : m_next(start)
    {
    }

    server_ranking rank(const placement_request&, std::span<const placement_server>, std::size_t maxCount);

private:
    std::size_t m_next;
};

} // namespace radishflow
