// Declares cold_share, one daemon's part of what a cold backend server bears.
#pragma once

#include "radishflow/Support/monotonic_clock.h"

#include <algorithm>
#include <chrono>

namespace radishflow {

/// Answers the load on servers that have just started: a token bucket of one request, filled at this daemon's part
/// of the server's rate. Over the fleet a second holds at most the rate and one request a sender. Not thread-safe.
class cold_share {
public:
    bool hasToken(time_point now, double ratePerSecond) const { return available(now, ratePerSecond) >= 1; }

    void take(time_point now, double ratePerSecond)
    {
        m_tokens = std::max(available(now, ratePerSecond) - 1, 0.0);
        m_filledAt = now;
    }

private:
    double available(time_point now, double ratePerSecond) const
    {
        const std::chrono::duration<double> passed = now - m_filledAt;
        return std::min(m_tokens + passed.count() * ratePerSecond, 1.0);
    }

    double m_tokens = 1;
    time_point m_filledAt {};
};

} // namespace radishflow
