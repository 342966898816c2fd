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
    bool isZoneOutOfService = false;
    daemon_id owner; ///< Empty while the server has no owner.
    std::string ownerPeer; ///< "IP:port" of the owner's peer interface.

    bool acceptsRequests() const { return !isLeaving && !isZoneOutOfService && !owner.empty(); }
};

} // namespace radishflow
