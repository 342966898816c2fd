// Declares workspace_settings, what an operator declares of one workspace.
#pragma once

#include "radishflow/Support/ids.h"

#include <vector>

namespace radishflow {

/// Settings of one workspace; docs/service-files.md lists their ranges.
struct workspace_settings {
    workspace_id id;
    int priority = 3; ///< 0 is the most urgent, 7 the least, as in RFC 9218.
    int limit = 100; ///< Concurrent requests in the whole fleet.
    int weight = 1; ///< Share among workspaces of one priority under overload.
    std::vector<service_id> services; ///< Services that it may call, in order of name.

    friend bool operator==(const workspace_settings&, const workspace_settings&) = default;
};

/// Whether the workspace may call the service.
bool mayCall(const workspace_settings&, const service_id&);

} // namespace radishflow
