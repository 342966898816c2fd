// Declares soak_evidence, the observations from which violations are found.
#pragma once

#include "received_request.h"
#include "soak_call.h"
#include "soak_step.h"
#include "stall_monitor.h"

#include <chrono>
#include <string>
#include <vector>

namespace radishflow {

/// Times are relative to the start of the soak.
struct soak_evidence {
    std::vector<soak_step> plan;
    std::vector<soak_call> calls;
    std::vector<std::vector<received_request>> seen; ///< Received requests, by number of the backend server.
    std::chrono::steady_clock::time_point began;
    std::vector<std::chrono::milliseconds> keyRemovals; ///< When keys 1, 2, ... were revoked.
    std::chrono::milliseconds maxRevocationDelay { 0 }; ///< Time within which a revoked key must stop working.
    std::chrono::milliseconds recoveredAt { 0 }; ///< From this time on every call must succeed.
    std::vector<machine_stall> stalls; ///< Response times aren't checked while the machine was stalled.
    std::vector<std::string> violations; ///< Violations detected during the run.
};

} // namespace radishflow
