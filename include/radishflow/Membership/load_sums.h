// Declares load_sums, loads of all services with the age of their oldest part.
#pragma once

#include "radishflow/Membership/service_load.h"
#include "radishflow/Support/monotonic_clock.h"

#include <vector>

namespace radishflow {

struct load_sums {
    std::vector<service_load> loads;
    time_point measuredAt {}; ///< When the oldest part was measured, on the reader's clock.
};

} // namespace radishflow
