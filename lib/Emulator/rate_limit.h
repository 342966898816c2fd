// Declares rate_limit, the token bucket by which the platform's stand-in enforces its rates.
#pragma once

#include "radishflow/Support/monotonic_clock.h"

#include <algorithm>
#include <mutex>

namespace radishflow {

/// Grants so many uses a second, with a burst of a tenth of a second's worth. Thread-safe.
template <monotonic_clock Clock>
class rate_limit {
public:
    rate_limit(double perSecond, const Clock& clock)
        : m_perSecond(perSecond)
        , m_burst(std::max(1.0, perSecond * burstSeconds))
        , m_clock(clock)
        , m_tokens(m_burst)
        , m_last(clock.now())
    {
    }

    /// Takes one use, or returns false when the rate is spent.
    bool take()
    {
        const std::lock_guard lock { m_mutex };
        const time_point now = m_clock.now();
        const double seconds = std::chrono::duration<double> { now - m_last }.count();
        m_tokens = std::min(m_burst, m_tokens + seconds * m_perSecond);
        m_last = now;
        if (m_tokens < 1.0)
            return false;
        m_tokens -= 1.0;
        return true;
    }

private:
    static constexpr double burstSeconds = 0.1;

    std::mutex m_mutex;
    double m_perSecond;
    double m_burst;
    const Clock& m_clock;
    double m_tokens;
    time_point m_last;
};

} // namespace radishflow
