// Declares edge_options, the bounds of the callers' interface.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace radishflow {

/// Bounds towards callers.
struct edge_options {
    std::string host = "127.0.0.1";
    std::uint16_t port = 0; ///< 0 takes a free one.
    int connectionLimit = 1024; ///< Each open connection holds one worker.
    int queueLimit = 64; ///< Connections that wait for a worker; more get a 503 and are closed.
    std::size_t bodyLimitBytes = 1 << 20;
    std::chrono::milliseconds receiveTimeout { 10000 }; ///< Longest time for a request's head and body.
    std::chrono::milliseconds sendTimeout { 10000 }; ///< Longest time in which a caller takes one part of its answer.
    std::chrono::milliseconds keepAliveTimeout { 15000 };
};

} // namespace radishflow
