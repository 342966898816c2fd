// Declares retry_shares, this daemon's shares of the fleet's retry budgets, one for each service.
#pragma once

#include "radishflow/Routing/retry_share.h"
#include "radishflow/Support/ids.h"
#include "radishflow/Support/ranked_mutex.h"

#include <mutex>
#include <unordered_map>

namespace radishflow {

/// Thread-safe; uses one lock of rank RetryBudget.
template <monotonic_clock Clock>
class retry_shares {
public:
    retry_shares(const Clock& clock, const retry_share_options& options)
        : m_clock(clock)
        , m_options(options)
        , m_processStart(clock.now())
    {
    }

    /// Counts a request, which increases the service's retry budget.
    void countRequest(const service_id& service)
    {
        const std::lock_guard lock { m_mutex };
        shareOf(service).countRequest();
    }

    /// Takes one resend from the budget; returns false if this daemon's share is used up. A fleet size of 0 is unknown.
    bool tryConsume(const service_id& service, std::size_t fleetSize)
    {
        const std::lock_guard lock { m_mutex };
        return shareOf(service).tryConsume(fleetSize);
    }

private:
    retry_share<Clock>& shareOf(const service_id& service) { return m_shares.try_emplace(service, m_clock, m_options, m_processStart).first->second; }

    const Clock& m_clock;
    retry_share_options m_options;
    time_point m_processStart;
    ranked_mutex m_mutex { lock_rank::RetryBudget };
    std::unordered_map<service_id, retry_share<Clock>> m_shares;
};

} // namespace radishflow
