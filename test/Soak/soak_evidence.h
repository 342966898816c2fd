// Declares soak_evidence, everything that a soak is judged by.
#pragma once

#include "received_request.h"
#include "soak_call.h"
#include "soak_step.h"
#include "stall_watch.h"

#include <chrono>
#include <string>
#include <vector>

namespace radishflow {

/// Times count from the beginning of the soak.
struct soak_evidence {
    std::vector<soak_step> plan;
    std::vector<soak_call> calls;
    std::vector<std::vector<received_request>> seen; ///< By number of the backend server.
    std::chrono::steady_clock::time_point began;
    std::vector<std::chrono::milliseconds> keyRemovals; ///< When key 1, 2, ... was taken away.
    std::chrono::milliseconds maxRevocationDelay { 0 }; ///< Bound within which a removed key stops working.
    std::chrono::milliseconds settled { 0 }; ///< From here on every call has to be served.
    std::vector<machine_stall> stalls; ///< Bounds in time aren't judged while the machine stood still.
    std::vector<std::string> broken; ///< Promises that were seen to be broken on the way.
};

} // namespace radishflow
