// Declares caller_limits, the operator's bounds on what a caller may send.
#pragma once

#include <chrono>
#include <cstddef>

namespace radishflow {

/// Defaults hold until a configuration is known.
struct caller_limits {
    std::size_t headBytes = 16384;
    std::size_t bodyBytes = 4194304;
    std::chrono::milliseconds headTimeout { 3000 };
    std::chrono::milliseconds idleTimeout { 15000 };
};

} // namespace radishflow
