// Declares sim_time, the virtual time of the benchmark.
#pragma once

#include <chrono>

namespace radishflow {

using sim_time = std::chrono::duration<double>; ///< Seconds since the start of the run.

} // namespace radishflow
