// Declares refusal, the reason that a caller is given for a request that was not answered.
#pragma once

#include "radishflow/Support/execution_state.h"

#include <chrono>
#include <string>

namespace radishflow {

/// Why a request got no answer. Becomes RFC 9457 problem details at the callers' edge.
struct refusal {
    int status = 503; ///< HTTP status.
    std::string title;
    std::string detail;
    execution_state execution = execution_state::NotRun;
    std::chrono::milliseconds retryAfter { 0 }; ///< When to come back; zero when unsaid.
    int runningThere = -1; ///< Requests at the server that refused for its share of the load; -1 otherwise.
    bool tryNextServer = false; ///< Another server may be tried now; only ever with NotRun.
    bool hasRoom = false; ///< The server would take the request although it does not hold its prefix.
    double load = 1; ///< The server's exact load as a share of what it admits now.
    bool isHeld = false; ///< The server probably holds the request's prefix.
};

} // namespace radishflow
