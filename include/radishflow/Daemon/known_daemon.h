// Declares known_daemon, a daemon of the fleet as another one sees it.
#pragma once

#include "radishflow/Support/ids.h"

#include <string>

namespace radishflow {

struct known_daemon {
    daemon_id id;
    zone_id zone;
    region_id region;
    std::string peer; ///< "IP:port" for calls between daemons.
    std::string http; ///< "IP:port" for callers.
    bool isReady = false; ///< Has said that it can serve callers.
    bool isAlive = true;
    bool isLeaving = false; ///< Takes no new callers.
};

} // namespace radishflow
