// Declares engine_record, what the engine's stand-in tells the checkers about itself.
#pragma once

#include "radishflow/Support/monotonic_clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace radishflow {

/// One request too many, with how long the engine had been cold by then.
struct engine_overload {
    int running = 0;
    int limit = 0;
    duration coldFor {};
};

/// Counts over all lives of the engine.
struct engine_record {
    std::map<std::string, std::int64_t> requests; ///< Generations begun by request id; a resumption is none.
    std::vector<engine_overload> overloads;
    std::int64_t crashes = 0;
    std::int64_t completed = 0;
    std::int64_t cancelled = 0;
    std::int64_t resumed = 0;
    std::int64_t hits = 0;
    std::int64_t misses = 0;
    std::int64_t coldStarts = 0;
    int maxRunning = 0;
    int maxRunningCold = 0;
    int maxLoad = 0; ///< Running and waiting.
};

} // namespace radishflow
