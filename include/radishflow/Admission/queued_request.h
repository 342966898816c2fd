// Declares queued_request, a request that waits for room at an owner's servers.
#pragma once

#include "radishflow/Admission/request_priority.h"
#include "radishflow/Support/ids.h"
#include "radishflow/Support/monotonic_clock.h"

#include <cstdint>

namespace radishflow {

struct queued_request {
    request_id id;
    workspace_id workspace;
    request_priority priority;
    double weight = 1; ///< The workspace's.
    time_point deadline; ///< The caller's.
};

/// A request that the queue has given up; its caller is to be told at once.
struct refused_request {
    request_id id;
    duration retryAfter {};
};

} // namespace radishflow
