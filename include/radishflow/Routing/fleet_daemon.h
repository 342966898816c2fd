// Declares fleet_daemon, the published state of one daemon of the fleet.
#pragma once

#include "radishflow/Support/ids.h"

#include <string>

namespace radishflow {

struct fleet_daemon {
    daemon_id id;
    zone_id zone;
    std::string callerAddress; ///< "IP:port" at which callers connect.
    std::string forwardingToken; ///< Proves that a forwarded request comes from this daemon; empty if it has published none.
    double processorShare = 0; ///< Cores that the platform allows the daemon; 0 if it has published none.
    bool reachesServers = true; ///< The daemon has not stated that it lost access to the backend servers.
    bool acceptsCallers = false; ///< The daemon has a configuration and is not stopping.
};

} // namespace radishflow
