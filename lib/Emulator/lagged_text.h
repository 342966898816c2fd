// Declares lagged_text, a report that shows what was set only after a lag.
#pragma once

#include "radishflow/Support/monotonic_clock.h"

#include <deque>
#include <mutex>
#include <string>

namespace radishflow {

/// Keeps each text that was set with its time. Thread-safe.
template <monotonic_clock Clock>
class lagged_text {
public:
    /// The initial text shows until one that was set is older than the lag.
    lagged_text(std::string initial, duration lag, const Clock& clock)
        : m_initial(std::move(initial))
        , m_lag(lag)
        , m_clock(clock)
    {
    }

    void set(std::string text)
    {
        const std::lock_guard lock { m_mutex };
        const time_point now = m_clock.now();
        m_versions.push_back({ now, std::move(text) });
        // The second oldest shows when the lag is the longest that may be set.
        while (m_versions.size() > 1 && m_versions[1].setAt + longestLag <= now)
            m_versions.pop_front();
    }

    void setLag(duration lag)
    {
        const std::lock_guard lock { m_mutex };
        m_lag = std::min<duration>(lag, longestLag);
    }

    /// Forgets what was set: a process that started anew can't report for the one before it.
    void restart(std::string initial)
    {
        const std::lock_guard lock { m_mutex };
        m_initial = std::move(initial);
        m_versions.clear();
    }

    /// Returns the newest text that is older than the lag.
    std::string shown() const
    {
        const std::lock_guard lock { m_mutex };
        const time_point limit = m_clock.now() - m_lag;
        for (auto entry = m_versions.rbegin(); entry != m_versions.rend(); ++entry) {
            if (entry->setAt <= limit)
                return entry->text;
        }
        return m_initial;
    }

private:
    static constexpr std::chrono::seconds longestLag { 60 };

    struct dated_text {
        time_point setAt;
        std::string text;
    };

    mutable std::mutex m_mutex;
    std::string m_initial;
    duration m_lag;
    const Clock& m_clock;
    std::deque<dated_text> m_versions;
};

} // namespace radishflow
