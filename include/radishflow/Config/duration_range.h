// Declares duration_range, an interval of expected durations.
#pragma once

#include "radishflow/Support/monotonic_clock.h"

namespace radishflow {

/// Both ends are included.
struct duration_range {
    duration atLeast {};
    duration atMost {};

    friend bool operator==(const duration_range&, const duration_range&) = default;
};

} // namespace radishflow
