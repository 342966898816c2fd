// Implements the clock of real processes.
#include "radishflow/Support/boottime_clock.h"

#include <ctime>

namespace radishflow {

// CLOCK_MONOTONIC stops while a host is suspended, so a term could seem to run long after the table
// has let another daemon win; CLOCK_BOOTTIME counts that time too.
time_point boottime_clock::now() const
{
    timespec reading {};
    clock_gettime(CLOCK_BOOTTIME, &reading);
    return time_point { std::chrono::seconds { reading.tv_sec } + std::chrono::nanoseconds { reading.tv_nsec } };
}

} // namespace radishflow
