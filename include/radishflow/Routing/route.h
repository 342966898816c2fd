// Declares route, the targets and the handling of requests with a given host and path prefix.
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
    std::chrono::milliseconds timeout { 0 }; ///< Limit for the time until the complete answer; 0 sets no limit.
    std::chrono::milliseconds objective { 0 }; ///< Latency objective for the answer, or for the first event of a stream.
    int priority = 0; ///< 0 is the most urgent.
    int attempts = 1; ///< Maximum number of backend servers that may run one request.
    bool isPublic = false; ///< Requests need no API key.
    bool isResumable = false; ///< A broken stream may be resumed at another backend server.
    std::vector<weighted_service> targets;
};

/// Returns whether a request may be resent if it may already have run.
inline bool isRepeatable(const route& route)
{
    return route.kind == work_kind::Idempotent || (route.kind == work_kind::Stream && route.isResumable);
}

} // namespace radishflow
