// Declares routing_config, one version of the operator's configuration.
#pragma once

#include "radishflow/Routing/caller_limits.h"
#include "radishflow/Routing/keyed_workspace.h"
#include "radishflow/Routing/route.h"
#include "radishflow/Routing/service_policy.h"

#include <vector>

namespace radishflow {

struct routing_config {
    config_version version;
    std::vector<route> routes;
    std::vector<service_policy> services;
    std::vector<keyed_workspace> workspaces; ///< If empty, requests need no API key.
    caller_limits limits;
};

} // namespace radishflow
