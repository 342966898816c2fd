// Declares known_daemon, a fleet member as seen by another daemon.
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
    bool isReady = false; ///< Has published that it can serve callers.
    bool isAlive = true;
    bool isLeaving = false; ///< Accepts no new callers.
};

} // namespace radishflow
