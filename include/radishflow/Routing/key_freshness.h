// Declares key_freshness, which bounds how long keys are trusted without the platform.
#pragma once

#include "radishflow/Support/monotonic_clock.h"

#include <atomic>
#include <chrono>

namespace radishflow {

/// Answers the loss of the platform: a key that was taken away unseen must stop working within the bound, so
/// requests with keys are refused once the configuration was last confirmed longer ago. Thread-safe.
class key_freshness {
public:
    explicit key_freshness(duration bound)
        : m_bound(bound)
    {
    }

    /// The configuration was the newest at this moment.
    void confirm(time_point at)
    {
        time_point known = m_confirmedAt.load();
        while (known < at && !m_confirmedAt.compare_exchange_weak(known, at)) { }
    }

    bool isFresh(time_point now) const { return now - m_confirmedAt.load() < m_bound; }
    duration age(time_point now) const { return now - m_confirmedAt.load(); }
    /// Age at which callers are better sent to another daemon, before their keys are refused here.
    duration staleAge() const { return std::chrono::duration_cast<duration>(m_bound * staleShare); }

private:
    static constexpr double staleShare = 0.6; ///< Leaves callers the time for which they keep an address.

    duration m_bound;
    std::atomic<time_point> m_confirmedAt { time_point { std::chrono::hours { -24 * 365 } } }; ///< Long before any boot.
};

} // namespace radishflow
