// Declares server_candidate, a backend server that is eligible for a request, with its estimated load.
#pragma once

#include "radishflow/Routing/listed_server.h"

namespace radishflow {

struct server_candidate {
    const listed_server* server = nullptr;
    double load = 0; ///< Estimated number of requests at the server from the whole fleet.
    bool isLocalZone = false; ///< The server is in the same availability zone as this daemon.
};

} // namespace radishflow
