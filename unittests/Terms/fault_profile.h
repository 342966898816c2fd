// Declares how often a random schedule injects certain faults.
#pragma once

namespace radishflow {

/// A rate of n means one in n on average; 0 means never.
struct fault_profile {
    int delayedCalls = 0;
    int disconnectsInCalls = 0;
    bool dropsLimit = false;
};

} // namespace radishflow
