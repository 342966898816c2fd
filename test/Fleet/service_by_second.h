// Declares service_by_second, the number of requests sent and answered in each second.
#pragma once

#include <algorithm>
#include <chrono>
#include <map>
#include <mutex>

namespace radishflow {

/// Counts requests, and those of them that succeeded, by the second in which they were sent. Thread-safe.
class service_by_second {
public:
    using clock = std::chrono::steady_clock;

    void record(clock::time_point sentAt, bool isAnswered)
    {
        const std::lock_guard lock { m_mutex };
        second_counts& counts = m_seconds[std::chrono::duration_cast<std::chrono::seconds>(sentAt - m_start).count()];
        ++counts.sent;
        counts.answered += isAnswered ? 1 : 0;
    }

    /// Returns the second of a time, counted from construction.
    long secondOf(clock::time_point time) const { return std::chrono::duration_cast<std::chrono::seconds>(time - m_start).count(); }

    /// Returns the smallest share of successful requests in any second from first to last, both included; 1 when none were sent.
    double minSuccessRate(long first, long last) const
    {
        const std::lock_guard lock { m_mutex };
        double share = 1;
        for (const auto& [number, counts] : m_seconds) {
            if (number >= first && number <= last)
                share = std::min(share, static_cast<double>(counts.answered) / counts.sent);
        }
        return share;
    }

    /// Returns the last second in which the share of successful requests was below a value, or -1.
    long lastSecondBelow(double share) const
    {
        const std::lock_guard lock { m_mutex };
        long last = -1;
        for (const auto& [number, counts] : m_seconds) {
            if (static_cast<double>(counts.answered) / counts.sent < share)
                last = number;
        }
        return last;
    }

    int sent() const
    {
        const std::lock_guard lock { m_mutex };
        int sum = 0;
        for (const auto& [number, counts] : m_seconds)
            sum += counts.sent;
        return sum;
    }

private:
    struct second_counts {
        int sent = 0;
        int answered = 0;
    };

    clock::time_point m_start = clock::now();
    mutable std::mutex m_mutex;
    std::map<long, second_counts> m_seconds;
};

} // namespace radishflow
