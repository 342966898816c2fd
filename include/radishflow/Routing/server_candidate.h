// Declares server_candidate, a backend server that is eligible for a request, with its estimated load.
#pragma once

#include "radishflow/Routing/listed_server.h"
#include "radishflow/Support/monotonic_clock.h"

#include <optional>

namespace radishflow {

struct server_candidate {
    const listed_server* server = nullptr;
    double load = 0; ///< Estimated number of requests at the server from the whole fleet.
    std::optional<duration> reportAge; ///< Age of the load report that the estimate is based on; not set if no report is recent.
    bool isLocalZone = false; ///< The server is in the same availability zone as this daemon.
};

} // namespace radishflow
