// Declares token_bucket, which limits the rate of what a daemon sends: bytes, or probes.
#pragma once

#include "radishflow/Support/monotonic_clock.h"

#include <algorithm>
#include <cstddef>

namespace radishflow {

/// Spending may overdraw the bucket; it then stays spent until the refill covers the debt. Not thread-safe.
class token_bucket {
public:
    token_bucket(std::size_t tokensPerSecond, std::size_t burst)
        : m_rate(static_cast<double>(tokensPerSecond))
        , m_burst(static_cast<double>(burst))
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
    void spend(std::size_t tokens) { m_tokens -= static_cast<double>(tokens); }

private:
    double m_rate;
    double m_burst;
    double m_tokens;
    time_point m_refilledAt {};
};

} // namespace radishflow
