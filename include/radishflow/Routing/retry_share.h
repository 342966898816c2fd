// Declares retry_share, one daemon's share of the fleet's retry budget for a service.
#pragma once

#include "radishflow/Routing/sliding_window_count.h"

#include <algorithm>
#include <cstddef>

namespace radishflow {

struct retry_share_options {
    double ratio = 0.2; ///< Resends allowed per request within the window; set by the platform.
    double slack = 0; ///< Additional resends allowed to the whole fleet in each window; set by the platform.
    double margin = 0.8; ///< Fraction of ratio and slack that is used, because the windows of the daemons are not aligned.
};

/// Keeps retries from multiplying the load. Each daemon derives its allowance from its own requests and an equal part of
/// the slack, so the sum over the fleet stays within the budget however the traffic is distributed. Not thread-safe.
template <monotonic_clock Clock>
class retry_share {
public:
    static constexpr std::size_t windowSeconds = 10; ///< Window of the platform's retry budget.

    retry_share(const Clock& clock, const retry_share_options& options)
        : m_clock(clock)
        , m_options(options)
    {
    }

    void countRequest() { m_requests.add(m_clock.now()); }

    /// Consumes one resend and returns true, or returns false if this daemon's share is used up. fleetSize is the number of daemons that share the budget.
    bool tryConsume(std::size_t fleetSize)
    {
        const time_point now = m_clock.now();
        const double allowance = m_options.margin * (m_options.ratio * m_requests.sum(now) + m_options.slack / static_cast<double>(std::max<std::size_t>(fleetSize, 1)));
        if (m_resends.sum(now) + 1 > allowance)
            return false;
        m_resends.add(now);
        return true;
    }

private:
    const Clock& m_clock;
    retry_share_options m_options;
    sliding_window_count<windowSeconds> m_requests;
    sliding_window_count<windowSeconds + 1> m_resends; ///< One second longer than the window, because counts have a resolution of one second: no sliding window contains more resends than are counted here.
};

} // namespace radishflow
