// Declares request_priority, the urgency of RFC 9218.
#pragma once

#include <algorithm>
#include <cmath>
#include <compare>

namespace radishflow {

/// An urgency from 0, the most urgent, to 7; other values are clamped.
class request_priority {
public:
    static constexpr int mostUrgent = 0;
    static constexpr int leastUrgent = 7;
    static constexpr int defaultUrgency = 3;

    constexpr request_priority() = default;
    constexpr explicit request_priority(int urgency)
        : m_urgency(std::clamp(urgency, mostUrgent, leastUrgent))
    {
    }

    constexpr int urgency() const { return m_urgency; }

    /// Returns the share under contention relative to the default urgency; each more urgent step doubles it.
    double weight() const { return std::exp2(defaultUrgency - m_urgency); }

    friend constexpr auto operator<=>(request_priority, request_priority) = default;

private:
    int m_urgency = defaultUrgency;
};

} // namespace radishflow
