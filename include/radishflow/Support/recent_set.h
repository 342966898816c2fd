// Declares recent_set, a set whose elements expire.
#pragma once

#include "radishflow/Support/monotonic_clock.h"

#include <cstddef>
#include <unordered_set>
#include <utility>

namespace radishflow {

/// Contains each element for at least `lifetime` and less than three times as long after its last insertion, except that the older
/// half is dropped early if more than `capacity` elements are inserted within `lifetime`. Not thread-safe.
template <typename Element>
class recent_set {
public:
    recent_set(duration lifetime, std::size_t capacity)
        : m_lifetime(lifetime)
        , m_capacity(capacity)
    {
    }

    void insert(const Element& element, time_point now)
    {
        rotate(now);
        m_newer.insert(element);
    }

    bool contains(const Element& element, time_point now) const
    {
        const duration age = now - m_rotatedAt;
        return (age < 2 * m_lifetime && m_newer.contains(element)) || (age < m_lifetime && m_older.contains(element));
    }

    std::size_t size() const { return m_newer.size() + m_older.size(); }

private:
    void rotate(time_point now)
    {
        const duration age = now - m_rotatedAt;
        if (age < m_lifetime && m_newer.size() < m_capacity)
            return;
        m_older = age < 2 * m_lifetime ? std::exchange(m_newer, {}) : std::unordered_set<Element> {};
        m_newer.clear();
        m_rotatedAt = now;
    }

    duration m_lifetime;
    std::size_t m_capacity;
    std::unordered_set<Element> m_newer;
    std::unordered_set<Element> m_older;
    time_point m_rotatedAt {};
};

} // namespace radishflow
