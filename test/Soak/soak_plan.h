// Declares drawPlan, which draws the faults of a soak from a seed.
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
    std::chrono::milliseconds faultPeriod { 12000 }; ///< Time from the start of the soak within which all faults begin and end.
    int steps = 16; ///< Number of draws; a fault that would overlap with an excluded one is dropped.
};

/// Returns the faults in order of their start. Deterministic: equal options give equal plans.
std::vector<soak_step> drawPlan(const soak_plan_options&);

} // namespace radishflow
