// Declares service_policy, what the backend servers of a service bear.
#pragma once

#include "radishflow/Support/ids.h"

namespace radishflow {

struct service_policy {
    service_id id;
    int connectionLimit = 0; ///< Connections that one server takes from all daemons together; 0 sets no bound.
    double coldRequestsPerSecond = 0; ///< What one server bears while it is cold; 0 sets no bound.
};

} // namespace radishflow
