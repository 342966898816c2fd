// Declares fleet_daemon, the published state of one daemon of the fleet.
#pragma once

#include "radishflow/Support/ids.h"

#include <string>

namespace radishflow {

struct fleet_daemon {
    daemon_id id;
    zone_id zone;
    std::string callerAddress; ///< "IP:port" at which callers connect.
    bool acceptsCallers = false; ///< The daemon has a configuration and is not stopping.
};

} // namespace radishflow
