// Declares retry_backoff, the delays between the retries of a call to a shared service that refuses or does not respond.
#pragma once

#include "radishflow/Support/monotonic_clock.h"

#include <algorithm>
#include <random>

namespace radishflow {

struct retry_backoff_options {
    duration minDelay = std::chrono::milliseconds { 250 };
    duration maxDelay = std::chrono::seconds { 2 };
};

/// Doubles the delay with each failure and draws from its upper three quarters.
///
/// Answers the load of a fleet that starts at once: with a constant delay, all daemons retry together, and their refused calls
/// use up the rate that the service allows. Not thread-safe.
template <std::uniform_random_bit_generator Random>
class retry_backoff {
public:
    explicit retry_backoff(Random& random, const retry_backoff_options& options = {})
        : m_random(random)
        , m_options(options)
    {
    }

    void reset() { m_delay = {}; }

    /// Returns the delay before the next retry.
    duration next()
    {
        m_delay = std::clamp(m_delay * 2, m_options.minDelay, m_options.maxDelay);
        std::uniform_int_distribution<duration::rep> draw { m_delay.count() / 4, m_delay.count() };
        return duration { draw(m_random) };
    }

private:
    Random& m_random;
    retry_backoff_options m_options;
    duration m_delay {};
};

} // namespace radishflow
