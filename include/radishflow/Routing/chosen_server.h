// Declares chosen_server, where a request goes.
#pragma once

#include "radishflow/Routing/listed_server.h"

#include <string>

namespace radishflow {

struct chosen_server {
    listed_server server;
    std::string cacheSource; ///< "IP:port" of another server that probably holds the prompt; empty for none.
};

} // namespace radishflow
