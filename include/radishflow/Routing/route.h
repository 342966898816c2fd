// Declares route, where the requests of one host and path prefix go.
#pragma once

#include "radishflow/Routing/weighted_service.h"
#include "radishflow/Routing/work_kind.h"

#include <chrono>
#include <string>
#include <vector>

namespace radishflow {

struct route {
    std::string name;
    std::string host;
    std::string prefix; ///< Begins and ends with a slash.
    work_kind kind = work_kind::NonIdempotent;
    std::chrono::milliseconds timeout { 0 }; ///< Longest time until the final answer; 0 sets no bound.
    std::chrono::milliseconds objective { 0 }; ///< Latency objective of the answer, of a stream's first event.
    int priority = 0; ///< 0 is the most urgent.
    int attempts = 1; ///< Most backend servers that may run one request.
    bool isPublic = false; ///< Needs no key.
    bool isResumable = false; ///< A stream may go on at another backend server.
    std::vector<weighted_service> targets;
};

/// Whether a request may be sent again after it may have run.
inline bool isRepeatable(const route& route)
{
    return route.kind == work_kind::Idempotent || (route.kind == work_kind::Stream && route.isResumable);
}

} // namespace radishflow
