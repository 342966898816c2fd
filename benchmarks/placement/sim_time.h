// Names the unit of the benchmark's virtual time.
#pragma once

#include <chrono>

namespace radishflow {

using sim_time = std::chrono::duration<double>; ///< Seconds since the start of the run.

} // namespace radishflow
