// Declares in_flight_history, the number of one daemon's requests at a backend server, now and at recent times.
#pragma once

#include "radishflow/Support/monotonic_clock.h"

#include <algorithm>
#include <chrono>
#include <vector>

namespace radishflow {

/// Not thread-safe.
class in_flight_history {
public:
    /// Longer than load reports are used.
    static constexpr std::chrono::seconds retention { 5 };

    void start(time_point now) { change(now, 1); }
    /// Has no effect if no request is in flight.
    void finish(time_point now) { change(now, m_current > 0 ? -1 : 0); }

    int current() const { return m_current; }
    /// Returns the number of requests in flight at a time within the retention.
    int at(time_point time) const
    {
        int count = m_current;
        for (auto change = m_changes.rbegin(); change != m_changes.rend() && change->at > time; ++change)
            count -= change->amount;
        return count;
    }

private:
    struct count_change {
        time_point at;
        int amount = 0;
    };

    void change(time_point now, int amount)
    {
        const auto isRetained = [&](const count_change& change) { return now - change.at <= retention; };
        m_changes.erase(m_changes.begin(), std::find_if(m_changes.begin(), m_changes.end(), isRetained));
        if (amount == 0)
            return;
        m_changes.push_back({ .at = now, .amount = amount });
        m_current += amount;
    }

    int m_current = 0;
    std::vector<count_change> m_changes; ///< In the order of time.
};

} // namespace radishflow
