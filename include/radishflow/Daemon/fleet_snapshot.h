// Declares fleet_snapshot, a daemon's view of the fleet at one moment.
#pragma once

#include "radishflow/Daemon/known_daemon.h"
#include "radishflow/Daemon/known_server.h"

#include <set>
#include <unordered_map>
#include <vector>

namespace radishflow {

/// Immutable once it is shared.
struct fleet_snapshot {
    std::vector<known_daemon> daemons;
    std::unordered_map<service_id, std::vector<known_server>> servers;
    std::set<zone_id> zonesOutOfService;
};

} // namespace radishflow
