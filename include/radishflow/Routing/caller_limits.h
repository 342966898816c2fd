// Declares caller_limits, the operator's limits on the size and timing of requests from callers.
#pragma once

#include <chrono>
#include <cstddef>

namespace radishflow {

/// The defaults apply until the daemon has a configuration.
struct caller_limits {
    std::size_t headBytes = 16384;
    std::size_t bodyBytes = 4194304;
    std::chrono::milliseconds headTimeout { 3000 };
    std::chrono::milliseconds idleTimeout { 15000 };
};

} // namespace radishflow
