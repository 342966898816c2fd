// Declares cold_share, one daemon's share of the request rate of a cold (recently started) backend server.
#pragma once

#include "radishflow/Support/monotonic_clock.h"

#include <algorithm>
#include <chrono>

namespace radishflow {

/// Limits the load on a recently started server with a token bucket that holds one request and is refilled at this
/// daemon's share of the server's rate. Over the whole fleet, any second contains at most the rate plus one request per
/// sending daemon. Not thread-safe.
class cold_share {
public:
    bool hasToken(time_point now, double ratePerSecond) const { return available(now, ratePerSecond) >= 1; }

    void consumeToken(time_point now, double ratePerSecond)
    {
        m_tokens = std::max(available(now, ratePerSecond) - 1, 0.0);
        m_refilledAt = now;
    }

private:
    double available(time_point now, double ratePerSecond) const
    {
        const std::chrono::duration<double> elapsed = now - m_refilledAt;
        return std::min(m_tokens + elapsed.count() * ratePerSecond, 1.0);
    }

    double m_tokens = 1;
    time_point m_refilledAt {};
};

} // namespace radishflow
