// Declares retry_budget, which limits retries to a fraction of the successful requests.
#pragma once

#include "radishflow/Support/monotonic_clock.h"

#include <algorithm>

namespace radishflow {

struct retry_budget_options {
    double retriesPerSuccess = 0.1;
    double retriesPerSecond = 0.1; ///< Granted regardless of successes, so that retries are possible under low traffic as well.
    double capacity = 10; ///< Maximum number of accumulated retries.
};

/// A token bucket of retries. Not thread-safe.
template <monotonic_clock Clock>
class retry_budget {
public:
    retry_budget(const Clock& clock, const retry_budget_options& options)
        : m_clock(clock)
        , m_options(options)
        , m_tokens(options.capacity)
        , m_refilledAt(clock.now())
    {
    }

    /// Records a success, which adds retriesPerSuccess to the budget.
    void succeeded() { m_tokens = std::min(m_tokens + m_options.retriesPerSuccess, m_options.capacity); }

    /// Consumes one retry. Returns false if the budget is exhausted; the failure is final then.
    bool tryRetry()
    {
        refill();
        if (m_tokens < 1)
            return false;
        m_tokens -= 1;
        return true;
    }

private:
    void refill()
    {
        const time_point now = m_clock.now();
        const std::chrono::duration<double> elapsed = now - m_refilledAt;
        m_tokens = std::min(m_tokens + elapsed.count() * m_options.retriesPerSecond, m_options.capacity);
        m_refilledAt = now;
    }

    const Clock& m_clock;
    retry_budget_options m_options;
    double m_tokens;
    time_point m_refilledAt;
};

} // namespace radishflow
