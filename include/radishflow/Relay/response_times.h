// Declares response_times, which keeps how long the requests of each route took lately.
#pragma once

#include "radishflow/Support/monotonic_clock.h"
#include "radishflow/Support/ranked_mutex.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <utility>

namespace radishflow {

struct response_times_options {
    duration period = std::chrono::seconds { 60 }; ///< Responses of this period and of the one before it count.
    int minResponses = 10; ///< Fewer responses do not show how long a request may take.
};

/// Keeps the longest time to a complete response, by route. Thread-safe under one lock of rank Statistics.
template <monotonic_clock Clock>
class response_times {
public:
    explicit response_times(const Clock& clock, const response_times_options& options = {})
        : m_clock(clock)
        , m_options(options)
    {
    }

    /// Records a complete response.
    void record(const std::string& route, duration time)
    {
        const std::lock_guard lock { m_mutex };
        rotate();
        period& current = m_current[route];
        current.longest = std::max(current.longest, time);
        ++current.responses;
    }

    /// Returns the longest recent time, or nothing if too few responses are known.
    std::optional<duration> longest(const std::string& route)
    {
        const std::lock_guard lock { m_mutex };
        rotate();
        period both;
        for (const auto* periods : { &m_previous, &m_current }) {
            if (const auto found = periods->find(route); found != periods->end())
                both = { .longest = std::max(both.longest, found->second.longest), .responses = both.responses + found->second.responses };
        }
        return both.responses >= m_options.minResponses ? std::optional { both.longest } : std::nullopt;
    }

private:
    struct period {
        duration longest {};
        int responses = 0;
    };

    void rotate()
    {
        const time_point now = m_clock.now();
        if (now - m_beganAt < m_options.period)
            return;
        m_previous = now - m_beganAt < 2 * m_options.period ? std::exchange(m_current, {}) : std::map<std::string, period> {};
        m_current.clear();
        m_beganAt = now;
    }

    const Clock& m_clock;
    response_times_options m_options;
    ranked_mutex m_mutex { lock_rank::Statistics };
    time_point m_beganAt {};
    std::map<std::string, period> m_previous;
    std::map<std::string, period> m_current;
};

} // namespace radishflow
