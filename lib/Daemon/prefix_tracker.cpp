// Implements the tracking of prefixes in the caches of owned engines.
#include "radishflow/Daemon/prefix_tracker.h"

#include <algorithm>
#include <mutex>

namespace radishflow {

prefix_tracker::engine_cache& prefix_tracker::cacheOf(const server_id& server)
{
    return m_engines.try_emplace(server, m_options.sketch).first->second;
}

// The next request of a chat can arrive before the cache event of its last response has been read. Until then the
// responses that this owner has seen are used.
prefix_state prefix_tracker::stateOf(const server_id& server, std::uint64_t prefix, time_point now) const
{
    const std::lock_guard lock { m_mutex };
    const auto engine = m_engines.find(server);
    if (engine == m_engines.end())
        return prefix_state::Unknown;
    const prefix_state listed = engine->second.sketch.stateOf(prefix);
    if (isProbablyHeld(listed))
        return listed;
    const auto served = engine->second.served.find(prefix);
    const bool wasServedRecently = served != engine->second.served.end() && now - served->second <= m_options.eventLag;
    return wasServedRecently ? prefix_state::Likely : listed;
}

void prefix_tracker::recordProcessStart(const server_id& server, double startTime)
{
    const std::lock_guard lock { m_mutex };
    engine_cache& engine = cacheOf(server);
    if (engine.startTime == startTime)
        return;
    // Prefixes served before the first known start time may belong to this process, and they expire soon.
    if (engine.startTime > 0)
        engine.served.clear();
    engine.startTime = startTime;
    engine.next = 0;
    engine.sketch.restart();
}

std::uint64_t prefix_tracker::nextEvent(const server_id& server) const
{
    const std::lock_guard lock { m_mutex };
    const auto engine = m_engines.find(server);
    return engine == m_engines.end() ? 0 : engine->second.next;
}

void prefix_tracker::apply(const server_id& server, std::span<const cache_event> events, std::uint64_t next)
{
    const std::lock_guard lock { m_mutex };
    engine_cache& engine = cacheOf(server);
    for (const cache_event& event : events)
        engine.sketch.apply(event);
    engine.next = next;
}

void prefix_tracker::recordServed(const server_id& server, std::uint64_t prefix, time_point now)
{
    const std::lock_guard lock { m_mutex };
    auto& served = cacheOf(server).served;
    if (served.size() >= m_options.maxServed)
        std::erase_if(served, [&](const auto& item) { return now - item.second > m_options.eventLag; });
    if (served.size() < m_options.maxServed || served.contains(prefix))
        served[prefix] = now;
}

void prefix_tracker::retainOnly(std::span<const server_id> owned)
{
    const std::lock_guard lock { m_mutex };
    std::erase_if(m_engines, [&](const auto& item) { return std::find(owned.begin(), owned.end(), item.first) == owned.end(); });
}

std::size_t prefix_tracker::engines() const
{
    const std::lock_guard lock { m_mutex };
    return m_engines.size();
}

} // namespace radishflow
