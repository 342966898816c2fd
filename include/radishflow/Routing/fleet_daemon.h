// Declares fleet_daemon, one daemon as another sees it.
#pragma once

#include "radishflow/Support/ids.h"

#include <string>

namespace radishflow {

struct fleet_daemon {
    daemon_id id;
    zone_id zone;
    std::string callerAddress; ///< "IP:port" at which callers connect.
    bool acceptsCallers = false; ///< Has a configuration and isn't stopping.
};

} // namespace radishflow
