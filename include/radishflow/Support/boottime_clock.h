// Declares the clock of real processes.
#pragma once

#include "radishflow/Support/monotonic_clock.h"

namespace radishflow {

/// Reads CLOCK_BOOTTIME. Thread-safe.
class boottime_clock {
public:
    time_point now() const;
};

} // namespace radishflow
