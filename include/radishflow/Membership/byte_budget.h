// Declares byte_budget, a token bucket that limits the bytes sent by gossip and synchronisation.
#pragma once

#include "radishflow/Support/monotonic_clock.h"

#include <algorithm>
#include <cstddef>

namespace radishflow {

/// Spending may overdraw the budget; it then stays spent until the refill covers the debt. Not thread-safe.
class byte_budget {
public:
    byte_budget(std::size_t bytesPerSecond, std::size_t burstBytes)
        : m_rate(static_cast<double>(bytesPerSecond))
        , m_burst(static_cast<double>(burstBytes))
        , m_tokens(m_burst)
    {
    }

    void refill(time_point now)
    {
        const std::chrono::duration<double> elapsed = now - m_refilledAt;
        m_refilledAt = now;
        m_tokens = std::min(m_burst, m_tokens + elapsed.count() * m_rate);
    }

    bool isSpent() const { return m_tokens <= 0; }
    void spend(std::size_t bytes) { m_tokens -= static_cast<double>(bytes); }

private:
    double m_rate;
    double m_burst;
    double m_tokens;
    time_point m_refilledAt {};
};

} // namespace radishflow
