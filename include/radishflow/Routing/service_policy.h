// Declares service_policy, the limits on connections and requests to each backend server of a service.
#pragma once

#include "radishflow/Support/ids.h"

namespace radishflow {

struct service_policy {
    service_id id;
    int connectionLimit = 0; ///< Maximum number of connections from all daemons to one server; 0 sets no limit.
    double coldRequestsPerSecond = 0; ///< Maximum request rate of the fleet to one cold server; 0 sets no limit.
};

} // namespace radishflow
