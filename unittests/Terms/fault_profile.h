// How often some faults come in a random schedule.
#pragma once

namespace radishflow {

/// Rates are one in so many, or never with zero.
struct fault_profile {
    int delayedCalls = 0;
    int cutsInCalls = 0;
    bool limitFalls = false;
};

} // namespace radishflow
