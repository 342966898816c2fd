// Declares what operators set for a workspace.
#pragma once

#include "radishflow/Admission/request_priority.h"

namespace radishflow {

struct workspace_options {
    int maxRunning = 0; ///< Requests at once over the whole fleet; 0 means no limit.
    double weight = 1; ///< Share under contention, relative to other workspaces.
    request_priority highest { request_priority::mostUrgent }; ///< Requests that ask for more urgency get this.
};

} // namespace radishflow
