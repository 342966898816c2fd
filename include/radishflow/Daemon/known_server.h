// Declares known_server, a backend server as a daemon sees it.
#pragma once

#include "radishflow/Support/ids.h"

#include <string>

namespace radishflow {

struct known_server {
    server_id id;
    service_id service;
    zone_id zone;
    region_id region;
    bool isLeaving = false;
    bool isZoneOut = false;
    daemon_id owner; ///< Empty while nobody owns it.
    std::string ownerPeer; ///< "IP:port" of the owner's calls between daemons.

    bool takesNewWork() const { return !isLeaving && !isZoneOut && !owner.empty(); }
};

} // namespace radishflow
