// Declares the view of daemons and servers by which ownership is placed.
#pragma once

#include "radishflow/Support/ids.h"

#include <vector>

namespace radishflow {

/// A daemon as the membership sees it.
struct fleet_daemon {
    daemon_id daemon;
    zone_id zone;
    region_id region;
    bool isAlive = true;
    bool isRemoved = false; ///< Its process is known to have ended, not only to be silent; it sends no more.
};

/// A backend server as the host list shows it.
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
