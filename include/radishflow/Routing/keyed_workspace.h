// Declares keyed_workspace, a workspace and the keys that its callers show.
#pragma once

#include "radishflow/Support/ids.h"

#include <optional>
#include <string>
#include <vector>

namespace radishflow {

struct keyed_workspace {
    workspace_id id;
    std::optional<int> priority; ///< Goes before the route's priority.
    std::vector<std::string> keys;
};

} // namespace radishflow
