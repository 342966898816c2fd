// Declares chosen_server, where a request goes.
#pragma once

#include "radishflow/Routing/listed_server.h"
#include "radishflow/Routing/prompt_origin.h"

#include <string>

namespace radishflow {

struct chosen_server {
    listed_server server;
    prompt_origin prompt = prompt_origin::None; ///< As far as this daemon knows.
    std::string cacheSource; ///< "IP:port" of another server that probably holds the prompt; empty for none.
};

} // namespace radishflow
