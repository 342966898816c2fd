// Declares service_by_second, what callers were answered in each second.
#pragma once

#include <algorithm>
#include <chrono>
#include <map>
#include <mutex>

namespace radishflow {

/// Counts requests by the second in which they were sent. Thread-safe.
class service_by_second {
public:
    using clock = std::chrono::steady_clock;

    void note(clock::time_point sentAt, bool isAnswered)
    {
        const std::lock_guard lock { m_mutex };
        second& counted = m_seconds[std::chrono::duration_cast<std::chrono::seconds>(sentAt - m_start).count()];
        ++counted.sent;
        counted.answered += isAnswered ? 1 : 0;
    }

    long secondOf(clock::time_point time) const { return std::chrono::duration_cast<std::chrono::seconds>(time - m_start).count(); }

    /// Returns the smallest answered share of the seconds from first to last, both included.
    double minSuccessRate(long first, long last) const
    {
        const std::lock_guard lock { m_mutex };
        double share = 1;
        for (const auto& [number, counted] : m_seconds) {
            if (number >= first && number <= last)
                share = std::min(share, static_cast<double>(counted.answered) / counted.sent);
        }
        return share;
    }

    /// Returns the last second below a share, or -1.
    long lastSecondBelow(double share) const
    {
        const std::lock_guard lock { m_mutex };
        long last = -1;
        for (const auto& [number, counted] : m_seconds) {
            if (static_cast<double>(counted.answered) / counted.sent < share)
                last = number;
        }
        return last;
    }

    int sent() const
    {
        const std::lock_guard lock { m_mutex };
        int sum = 0;
        for (const auto& [number, counted] : m_seconds)
            sum += counted.sent;
        return sum;
    }

private:
    struct second {
        int sent = 0;
        int answered = 0;
    };

    clock::time_point m_start = clock::now();
    mutable std::mutex m_mutex;
    std::map<long, second> m_seconds;
};

} // namespace radishflow
