// Implements what an owner knows of its engines' caches.
#include "radishflow/Daemon/prefix_watch.h"

#include <algorithm>
#include <mutex>

namespace radishflow {

prefix_watch::engine_cache& prefix_watch::cacheOf(const server_id& server)
{
    return m_engines.try_emplace(server, m_options.sketch).first->second;
}

// A chat can return before the event of its last answer has been read; what this owner saw itself fills in.
prefix_state prefix_watch::stateOf(const server_id& server, std::uint64_t prefix, time_point now) const
{
    const std::lock_guard lock { m_mutex };
    const auto engine = m_engines.find(server);
    if (engine == m_engines.end())
        return prefix_state::Unknown;
    const prefix_state listed = engine->second.sketch.stateOf(prefix);
    if (isProbablyHeld(listed))
        return listed;
    const auto served = engine->second.served.find(prefix);
    const bool isServedLately = served != engine->second.served.end() && now - served->second <= m_options.eventLag;
    return isServedLately ? prefix_state::Likely : listed;
}

void prefix_watch::noteStart(const server_id& server, double startTime)
{
    const std::lock_guard lock { m_mutex };
    engine_cache& engine = cacheOf(server);
    if (engine.startTime == startTime)
        return;
    // What was served before the first reading may be of this process, and it is short-lived anyway.
    if (engine.startTime > 0)
        engine.served.clear();
    engine.startTime = startTime;
    engine.next = 0;
    engine.sketch.restart();
}

std::uint64_t prefix_watch::nextEvent(const server_id& server) const
{
    const std::lock_guard lock { m_mutex };
    const auto engine = m_engines.find(server);
    return engine == m_engines.end() ? 0 : engine->second.next;
}

void prefix_watch::apply(const server_id& server, std::span<const cache_event> events, std::uint64_t next)
{
    const std::lock_guard lock { m_mutex };
    engine_cache& engine = cacheOf(server);
    for (const cache_event& event : events)
        engine.sketch.apply(event);
    engine.next = next;
}

void prefix_watch::noteServed(const server_id& server, std::uint64_t prefix, time_point now)
{
    const std::lock_guard lock { m_mutex };
    auto& served = cacheOf(server).served;
    if (served.size() >= m_options.mostServed)
        std::erase_if(served, [&](const auto& item) { return now - item.second > m_options.eventLag; });
    if (served.size() < m_options.mostServed || served.contains(prefix))
        served[prefix] = now;
}

void prefix_watch::keepOnly(std::span<const server_id> owned)
{
    const std::lock_guard lock { m_mutex };
    std::erase_if(m_engines, [&](const auto& item) { return std::find(owned.begin(), owned.end(), item.first) == owned.end(); });
}

std::size_t prefix_watch::engines() const
{
    const std::lock_guard lock { m_mutex };
    return m_engines.size();
}

} // namespace radishflow
