// Declares keyed_workspace, a workspace and the API keys of its callers.
#pragma once

#include "radishflow/Support/ids.h"

#include <optional>
#include <string>
#include <vector>

namespace radishflow {

struct keyed_workspace {
    workspace_id id;
    std::optional<int> priority; ///< Overrides the priority of the route.
    std::vector<std::string> keys;
};

} // namespace radishflow
