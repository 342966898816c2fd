// Declares the clock of tests and simulations in virtual time.
#pragma once

#include "radishflow/Support/monotonic_clock.h"

#include <cassert>

namespace radishflow {

/// A clock that moves only when it is told to. Not thread-safe.
class manual_clock {
public:
    time_point now() const { return m_now; }

    void advance(duration step)
    {
        assert(step >= duration::zero() && "a monotonic clock never runs backwards");
        m_now += step;
    }

private:
    // Starts away from zero so that "never" and "at the start" differ.
    time_point m_now { std::chrono::hours { 1 } };
};

} // namespace radishflow
