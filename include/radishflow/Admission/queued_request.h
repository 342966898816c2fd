// Declares queued_request, a request that waits for capacity at an owner's servers.
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
    double weight = 1; ///< Weight of the workspace.
    time_point deadline; ///< Deadline set by the caller.
};

/// A request that was evicted from the queue or has expired; its caller must receive the refusal at once.
struct refused_request {
    request_id id;
    duration retryAfter {}; ///< Time after which the caller should retry.
};

} // namespace radishflow
