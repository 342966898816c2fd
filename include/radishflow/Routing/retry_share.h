// Declares retry_share, one daemon's share of the fleet's retry budget for a service.
#pragma once

#include "radishflow/Routing/sliding_window_count.h"

#include <algorithm>
#include <chrono>
#include <cstddef>

namespace radishflow {

struct retry_share_options {
    double ratio = 0.2; ///< Resends allowed per request within the window; set by the platform.
    double slack = 0; ///< Additional resends allowed to the whole fleet in each window; set by the platform.
    double margin = 0.8; ///< Fraction of ratio and slack that is used, because the windows of the daemons are not aligned.
    bool startsFull = false; ///< No earlier process of this daemon can have used its part of the slack.
};

/// Keeps retries from multiplying the load. Each daemon derives its allowance from its own requests and an equal part of
/// the slack, so the sum over the fleet stays within the budget however the traffic is distributed. Not thread-safe.
template <monotonic_clock Clock>
class retry_share {
public:
    static constexpr std::size_t windowSeconds = 10; ///< Window of the platform's retry budget.

    /// Takes the start of the process, before which an earlier process of this daemon may have resent requests.
    retry_share(const Clock& clock, const retry_share_options& options, time_point processStart)
        : m_clock(clock)
        , m_options(options)
        , m_slackLevel(options.startsFull ? maxSlackLevel : 0)
        , m_filledAt(processStart)
    {
    }

    void countRequest() { m_requests.add(m_clock.now()); }

    /// Consumes one resend and returns true, or returns false if this daemon's share is used up. fleetSize is the number of
    /// daemons that share the budget, and 0 if it is not known yet.
    bool tryConsume(std::size_t fleetSize)
    {
        const time_point now = m_clock.now();
        if (m_resendsByRatio.sum(now) + 1 <= m_options.margin * m_options.ratio * m_requests.sum(now)) {
            m_resendsByRatio.add(now);
            return true;
        }
        return tryConsumeSlack(fleetSize, now);
    }

private:
    /// The part of the slack is a token bucket that holds half of it and receives the other half in each window. A process
    /// starts with an empty one, so all processes of a daemon within a window together use at most its part: what the first
    /// one had saved, and what was added meanwhile.
    static constexpr double maxSlackLevel = 0.5;

    bool tryConsumeSlack(std::size_t fleetSize, time_point now)
    {
        const double windows = std::chrono::duration<double>(now - m_filledAt) / std::chrono::seconds { windowSeconds };
        m_slackLevel = std::min(maxSlackLevel, m_slackLevel + windows * maxSlackLevel);
        m_filledAt = now;
        const double resends = m_options.margin * m_options.slack / static_cast<double>(std::max<std::size_t>(fleetSize, 1));
        if (fleetSize == 0 || m_slackLevel * resends < 1)
            return false;
        m_slackLevel -= 1 / resends;
        return true;
    }

    const Clock& m_clock;
    retry_share_options m_options;
    sliding_window_count<windowSeconds> m_requests;
    sliding_window_count<windowSeconds + 1> m_resendsByRatio; ///< One second longer than the window, because counts have a resolution of one second: no sliding window contains more resends than are counted here.
    double m_slackLevel; ///< Unused fraction of this daemon's part of the slack.
    time_point m_filledAt;
};

} // namespace radishflow
