// Declares metrics_reading, values that are read when the metrics are requested.
#pragma once

#include "radishflow/Gossip/gossip_traffic.h"
#include "radishflow/Support/ids.h"

#include <cstdint>
#include <vector>

namespace radishflow {

struct server_reading {
    server_id server;
    int running = 0;
    int limit = 0;
};

struct metrics_reading {
    int connections = 0; ///< Open connections of callers.
    std::uint64_t configVersion = 0;
    gossip_traffic control;
    std::vector<server_reading> servers; ///< Owned servers.
};

} // namespace radishflow
