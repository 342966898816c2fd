// Declares sliding_window_count, a count of events in a sliding window with a resolution of one second.
#pragma once

#include "radishflow/Support/monotonic_clock.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace radishflow {

/// Counts the events of the last Seconds whole seconds of the clock, including the current one. Not thread-safe.
template <std::size_t Seconds>
class sliding_window_count {
public:
    void add(time_point now, int amount = 1)
    {
        bucket& current = m_buckets[secondOf(now) % Seconds];
        if (current.second != secondOf(now))
            current = { .second = secondOf(now), .count = 0 };
        current.count += amount;
    }

    int sum(time_point now) const
    {
        int total = 0;
        for (const bucket& entry : m_buckets) {
            if (entry.second + static_cast<std::int64_t>(Seconds) > secondOf(now))
                total += entry.count;
        }
        return total;
    }

private:
    struct bucket {
        std::int64_t second = -static_cast<std::int64_t>(Seconds);
        int count = 0;
    };

    static std::int64_t secondOf(time_point now) { return std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count(); }

    std::array<bucket, Seconds> m_buckets {};
};

} // namespace radishflow
