// Declares shared_retry_budget, the retry budget shared by all workers of a daemon.
#pragma once

#include "radishflow/Admission/retry_budget.h"
#include "radishflow/Support/boottime_clock.h"
#include "radishflow/Support/ranked_mutex.h"

#include <mutex>

namespace radishflow {

/// Thread-safe; rank RetryBudget.
class shared_retry_budget {
public:
    shared_retry_budget()
        : m_budget(m_clock, {})
    {
    }

    void succeeded()
    {
        const std::lock_guard lock { m_mutex };
        m_budget.succeeded();
    }

    bool tryRetry()
    {
        const std::lock_guard lock { m_mutex };
        return m_budget.tryRetry();
    }

private:
    boottime_clock m_clock;
    ranked_mutex m_mutex { lock_rank::RetryBudget };
    retry_budget<boottime_clock> m_budget;
};

} // namespace radishflow
