// Declares fleet_options, the settings of a daemon's membership in a relaying fleet.
#pragma once

#include "radishflow/Support/ids.h"
#include "radishflow/Support/monotonic_clock.h"

#include <chrono>
#include <string>

namespace radishflow {

struct fleet_options {
    daemon_id daemon;
    zone_id zone;
    region_id region;
    std::string peerAddress; ///< "IP:port" of the gossip socket.
    std::string callerAddress; ///< "IP:port" at which callers connect.
    /// How long an unreachable daemon still counts towards the fleet's size: it may be partitioned and still send requests.
    duration sizeRetention = std::chrono::seconds { 30 };
};

} // namespace radishflow
