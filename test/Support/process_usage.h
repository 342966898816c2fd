// Declares process_usage, a process's use of processor time and memory as reported by the kernel.
#pragma once

#include <sys/types.h>

namespace radishflow {

struct process_usage {
    double processorSeconds = 0; ///< User and system time since the process started.
    double residentMegabytes = 0; ///< Current resident memory.
    double peakMegabytes = 0; ///< Peak resident memory.
    int threads = 0;
};

/// Reads /proc/<pid>; all values are 0 when the process has ended and been reaped.
process_usage usageOf(pid_t);

} // namespace radishflow
