// Declares the daemons and backend servers from which the owners of servers are chosen.
#pragma once

#include "radishflow/Support/ids.h"

#include <vector>

namespace radishflow {

/// A daemon according to the membership.
struct fleet_daemon {
    daemon_id daemon;
    zone_id zone;
    region_id region;
    bool isAlive = true;
    bool isRemoved = false; ///< Its process is confirmed to have ended, not merely silent, so it sends nothing more.
};

/// A backend server according to the host list.
struct fleet_server {
    server_id server;
    service_id service;
    zone_id zone;
    region_id region;
    bool isLeaving = false;
};

struct fleet_view {
    std::vector<fleet_daemon> daemons;
    std::vector<fleet_server> servers;
};

} // namespace radishflow
