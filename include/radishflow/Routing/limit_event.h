// Declares limit_event, a change of what this daemon knows of a backend server's request limit, for the log.
#pragma once

#include "radishflow/Support/ids.h"

#include <optional>

namespace radishflow {

struct limit_event {
    server_id server;
    std::optional<double> previous; ///< Requests per second; not set for no limit.
    std::optional<double> current; ///< Requests per second; not set for no limit.
    bool isOwnStatement = false; ///< Stated in a response to this daemon rather than published by another one.
    int skips = 0; ///< Requests for which the server was left out because of its limit; 0 if the event is a change.
};

} // namespace radishflow
