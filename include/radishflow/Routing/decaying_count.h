// Declares decaying_count, a count whose entries decay exponentially with age.
#pragma once

#include "radishflow/Support/monotonic_clock.h"

#include <chrono>
#include <cmath>

namespace radishflow {

/// The value halves with each half-life. Not thread-safe.
class decaying_count {
public:
    void add(time_point now, double amount, duration halfLife)
    {
        m_value = at(now, halfLife) + amount;
        m_updatedAt = now;
    }

    double at(time_point now, duration halfLife) const
    {
        const std::chrono::duration<double> age = now - m_updatedAt;
        const std::chrono::duration<double> half = halfLife;
        return m_value * std::exp2(-age.count() / half.count());
    }

private:
    double m_value = 0;
    time_point m_updatedAt {};
};

} // namespace radishflow
