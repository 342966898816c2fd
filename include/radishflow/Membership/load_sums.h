// Declares load_sums, loads by service with the time of the oldest measurement among them.
#pragma once

#include "radishflow/Membership/service_load.h"
#include "radishflow/Support/monotonic_clock.h"

#include <vector>

namespace radishflow {

struct load_sums {
    std::vector<service_load> loads;
    time_point measuredAt {}; ///< Time of the oldest measurement in the sums, on this daemon's clock.
};

} // namespace radishflow
