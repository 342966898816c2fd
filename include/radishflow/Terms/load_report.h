// Declares what a backend server reports about the work that it runs.
#pragma once

#include "radishflow/Support/ids.h"
#include "radishflow/Support/monotonic_clock.h"

#include <map>

namespace radishflow {

/// A report of running requests. Without origins only the sum is known.
struct load_report {
    time_point takenAfter; ///< The server counted no earlier than this on the owner's clock (receipt less the lag).
    int running = 0;
    bool hasOrigins = false;
    std::map<term_number, int> runningByOrigin;
};

} // namespace radishflow
