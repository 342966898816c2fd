// Declares process_usage, what the kernel says that a process uses.
#pragma once

#include <sys/types.h>

namespace radishflow {

struct process_usage {
    double processorSeconds = 0; ///< User and system time since its start.
    double residentMegabytes = 0; ///< Resident memory now.
    double peakMegabytes = 0; ///< Most resident memory so far.
    int threads = 0;
};

/// Reads /proc/<pid>; all zero when the process has gone.
process_usage usageOf(pid_t);

} // namespace radishflow
