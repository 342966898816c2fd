// Declares a backend server's report of the requests that it runs.
#pragma once

#include "radishflow/Support/ids.h"
#include "radishflow/Support/monotonic_clock.h"

#include <map>

namespace radishflow {

/// Running requests of a server. Without origins, only the total is known.
struct load_report {
    time_point takenAfter; ///< Earliest time of the count on the owner's clock: when the report was requested, less the report's maximum lag.
    int running = 0;
    bool hasOrigins = false;
    std::map<term_number, int> runningByOrigin;
};

} // namespace radishflow
