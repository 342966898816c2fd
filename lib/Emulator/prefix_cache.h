// Declares prefix_cache, the engine stand-in's cache of prompt prefixes and the log of its changes.
#pragma once

#include "radishflow/Support/monotonic_clock.h"

#include <cstdint>
#include <deque>
#include <list>
#include <string>
#include <vector>

namespace radishflow {

struct kv_event {
    std::uint64_t number = 0;
    const char* type = "";
    std::string prefix;
    time_point at {};
};

/// Holds so many prefixes and evicts the one that was used longest ago. Not thread-safe.
class prefix_cache {
public:
    explicit prefix_cache(int capacity)
        : m_capacity(capacity)
    {
    }

    bool has(const std::string& prefix) const;

    /// Returns whether the prefix is held, and if so marks it as just used.
    bool touch(const std::string& prefix);
    void store(const std::string& prefix, time_point now);
    void clear(time_point now);

    /// Clears the cache and numbers the events anew, as a new process does.
    void restart(time_point now);

    /// Leaves so many coming events out of the log; their numbers show as a gap.
    void dropEvents(int count) { m_eventsToDrop = count; }

    /// Returns the events from a number on that are at least as old as the limit.
    std::vector<kv_event> events(std::uint64_t since, time_point limit) const;

private:
    void log(const char* type, const std::string& prefix, time_point now);

    int m_capacity;
    std::list<std::string> m_prefixes; ///< The most recently used comes first.
    std::deque<kv_event> m_events;
    std::uint64_t m_lastNumber = 0;
    int m_eventsToDrop = 0;
};

} // namespace radishflow
