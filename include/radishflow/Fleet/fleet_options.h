// Declares fleet_options.
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
    std::string peerAddress; ///< "IP:port" of the gossip.
    std::string callerAddress;
    /// How long a daemon that vanished still counts in the fleet's size: it may be cut off and go on sending.
    duration sizeMemory = std::chrono::seconds { 30 };
};

} // namespace radishflow
