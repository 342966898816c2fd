// Declares recent_map, a map whose entries expire.
#pragma once

#include "radishflow/Support/monotonic_clock.h"

#include <cstddef>
#include <optional>
#include <unordered_map>
#include <utility>

namespace radishflow {

/// Keeps each entry for at least `lifetime` and less than three times as long after it was last set, except that the older
/// half is dropped early if more than `capacity` entries are set within `lifetime`. Not thread-safe.
template <typename Key, typename Value>
class recent_map {
public:
    recent_map(duration lifetime, std::size_t capacity)
        : m_lifetime(lifetime)
        , m_capacity(capacity)
    {
    }

    void set(const Key& key, const Value& value, time_point now)
    {
        const duration age = now - m_rotatedAt;
        if (age >= m_lifetime || m_newer.size() >= m_capacity) {
            m_older = age < 2 * m_lifetime ? std::exchange(m_newer, {}) : generation {};
            m_newer.clear();
            m_rotatedAt = now;
        }
        m_newer.insert_or_assign(key, value);
    }

    std::optional<Value> find(const Key& key, time_point now) const
    {
        const duration age = now - m_rotatedAt;
        if (age < 2 * m_lifetime) {
            if (const auto entry = m_newer.find(key); entry != m_newer.end())
                return entry->second;
        }
        if (age < m_lifetime) {
            if (const auto entry = m_older.find(key); entry != m_older.end())
                return entry->second;
        }
        return std::nullopt;
    }

    std::size_t size() const { return m_newer.size() + m_older.size(); }

private:
    using generation = std::unordered_map<Key, Value>;

    duration m_lifetime;
    std::size_t m_capacity;
    generation m_newer;
    generation m_older;
    time_point m_rotatedAt {};
};

} // namespace radishflow
