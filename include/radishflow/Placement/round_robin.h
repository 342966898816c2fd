// Declares the baseline policy that takes servers in turn.
#pragma once

#include "radishflow/Placement/placement_request.h"
#include "radishflow/Placement/placement_server.h"
#include "radishflow/Placement/server_ranking.h"

#include <cstddef>
#include <span>

namespace radishflow {

/// Baseline. Not thread-safe.
class round_robin {
public:
    /// Deciders start at different servers, or they would all send to the same one.
    explicit round_robin(std::size_t start = 0)
        : m_next(start)
    {
    }

    server_ranking rank(const placement_request&, std::span<const placement_server>, std::size_t most);

private:
    std::size_t m_next;
};

} // namespace radishflow
