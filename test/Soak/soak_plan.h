// Declares soak_plan, the disturbances of one soak.
#pragma once

#include "soak_step.h"

#include <chrono>
#include <cstdint>
#include <vector>

namespace radishflow {

struct soak_plan_options {
    std::uint64_t seed = 1;
    int daemons = 3;
    int servers = 4;
    std::chrono::milliseconds trouble { 12000 }; ///< Time in which disturbances begin and end.
    int steps = 16; ///< Drawn; those that find no free time are left out.
};

/// Draws the disturbances, in order of their beginning; the same ones for the same options.
std::vector<soak_step> drawPlan(const soak_plan_options&);

} // namespace radishflow
