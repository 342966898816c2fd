// Implements the cache of prefixes. The log is short, so a reader that is away for long meets a gap.
#include "prefix_cache.h"

#include <algorithm>

namespace radishflow {

static constexpr std::size_t loggedEvents = 1000;

bool prefix_cache::has(const std::string& prefix) const
{
    return std::find(m_prefixes.begin(), m_prefixes.end(), prefix) != m_prefixes.end();
}

bool prefix_cache::touch(const std::string& prefix)
{
    const auto found = std::find(m_prefixes.begin(), m_prefixes.end(), prefix);
    if (found == m_prefixes.end())
        return false;
    m_prefixes.splice(m_prefixes.begin(), m_prefixes, found);
    return true;
}

void prefix_cache::store(const std::string& prefix, time_point now)
{
    if (m_capacity <= 0 || touch(prefix))
        return;
    m_prefixes.push_front(prefix);
    log("stored", prefix, now);
    if (m_prefixes.size() <= static_cast<std::size_t>(m_capacity))
        return;
    log("removed", m_prefixes.back(), now);
    m_prefixes.pop_back();
}

void prefix_cache::clear(time_point now)
{
    m_prefixes.clear();
    log("cleared", "", now);
}

void prefix_cache::restart(time_point now)
{
    m_events.clear();
    m_lastNumber = 0;
    m_eventsToDrop = 0;
    clear(now);
}

void prefix_cache::log(const char* type, const std::string& prefix, time_point now)
{
    ++m_lastNumber;
    if (m_eventsToDrop > 0) {
        --m_eventsToDrop;
        return;
    }
    m_events.push_back({ .number = m_lastNumber, .type = type, .prefix = prefix, .at = now });
    if (m_events.size() > loggedEvents)
        m_events.pop_front();
}

std::vector<kv_event> prefix_cache::events(std::uint64_t since, time_point limit) const
{
    std::vector<kv_event> shown;
    for (const kv_event& event : m_events) {
        if (event.number >= since && event.at <= limit)
            shown.push_back(event);
    }
    return shown;
}

} // namespace radishflow
