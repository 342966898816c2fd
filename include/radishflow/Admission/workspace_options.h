// Declares workspace_options, an operator's settings for a workspace.
#pragma once

#include "radishflow/Admission/request_priority.h"

namespace radishflow {

struct workspace_options {
    int maxRunning = 0; ///< Maximum concurrent requests in the whole fleet; 0 means no limit.
    double weight = 1; ///< Share under contention, relative to other workspaces.
    request_priority maxPriority { request_priority::mostUrgent }; ///< Requests with a more urgent priority are lowered to this one.
};

} // namespace radishflow
