// Declares chosen_server, the backend server that a request is sent to and the expected source of its prompt.
#pragma once

#include "radishflow/Routing/listed_server.h"
#include "radishflow/Routing/load_basis.h"
#include "radishflow/Routing/prompt_origin.h"

#include <string>

namespace radishflow {

struct chosen_server {
    listed_server server;
    prompt_origin prompt = prompt_origin::None; ///< Estimate from the prompt holders that this daemon has recorded and the ranks of the servers.
    std::string cacheSource; ///< "IP:port" of another server whose cache probably holds the prompt; empty if there is none.
    load_basis basis;
};

} // namespace radishflow
