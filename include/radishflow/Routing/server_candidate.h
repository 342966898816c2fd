// Declares server_candidate, a backend server that could take a request now.
#pragma once

#include "radishflow/Routing/listed_server.h"

namespace radishflow {

struct server_candidate {
    const listed_server* server = nullptr;
    double load = 0; ///< Estimated requests at the server, from the whole fleet.
    bool isOwnZone = false;
};

} // namespace radishflow
