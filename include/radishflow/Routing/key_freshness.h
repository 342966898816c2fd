// Declares key_freshness, which limits how long API keys are accepted without confirmation from the platform.
#pragma once

#include "radishflow/Support/monotonic_clock.h"

#include <atomic>
#include <chrono>

namespace radishflow {

/// While the platform is unreachable, a daemon does not see that a key was revoked. The revoked key must stop working
/// within the bound, so requests with keys are refused when the last confirmation of the configuration is older.
/// Thread-safe.
class key_freshness {
public:
    explicit key_freshness(duration bound)
        : m_bound(bound)
    {
    }

    /// Records that the configuration was the newest one at the given time. Earlier times than the recorded one are ignored.
    void confirm(time_point at)
    {
        time_point recorded = m_confirmedAt.load();
        while (recorded < at && !m_confirmedAt.compare_exchange_weak(recorded, at)) { }
    }

    bool isFresh(time_point now) const { return now - m_confirmedAt.load() < m_bound; }
    duration age(time_point now) const { return now - m_confirmedAt.load(); }
    /// Returns the age of the confirmation at which callers should be directed to another daemon, before this daemon refuses their keys.
    duration staleAge() const { return std::chrono::duration_cast<duration>(m_bound * staleShare); }

private:
    static constexpr double staleShare = 0.6; ///< The rest of the bound covers the time for which callers keep using a resolved address.

    duration m_bound;
    std::atomic<time_point> m_confirmedAt { time_point { std::chrono::hours { -24 * 365 } } }; ///< One year before the epoch of the boot-time clock, so that nothing is fresh before the first confirmation.
};

} // namespace radishflow
