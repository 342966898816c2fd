// Declares retry_share, one daemon's part of the fleet's retry budget for a service.
#pragma once

#include "radishflow/Routing/sliding_window_count.h"

#include <algorithm>
#include <cstddef>

namespace radishflow {

struct retry_share_options {
    double ratio = 0.2; ///< Sends beyond the first for each request, over the window; a platform bound.
    double slack = 0; ///< Further ones in each window, over the whole fleet; a platform bound.
    double margin = 0.8; ///< Part of both that is used, since the window's edges differ among daemons.
};

/// Answers load that retries multiply: spends from this daemon's own requests and from its part of the slack, so
/// the sum over the fleet keeps to the budget however traffic is spread. Not thread-safe.
template <monotonic_clock Clock>
class retry_share {
public:
    static constexpr std::size_t windowSeconds = 10; ///< The platform's budget window.

    retry_share(const Clock& clock, const retry_share_options& options)
        : m_clock(clock)
        , m_options(options)
    {
    }

    void countRequest() { m_requests.add(m_clock.now()); }

    /// Takes one resend; false when this daemon's part is used up. fleetSize counts the daemons that share.
    bool tryConsume(std::size_t fleetSize)
    {
        const time_point now = m_clock.now();
        const double allowed = m_options.margin * (m_options.ratio * m_requests.sum(now) + m_options.slack / static_cast<double>(std::max<std::size_t>(fleetSize, 1)));
        if (m_resends.sum(now) + 1 > allowed)
            return false;
        m_resends.add(now);
        return true;
    }

private:
    const Clock& m_clock;
    retry_share_options m_options;
    sliding_window_count<windowSeconds> m_requests;
    sliding_window_count<windowSeconds + 1> m_resends; ///< One second longer, so that no sliding window holds more.
};

} // namespace radishflow
