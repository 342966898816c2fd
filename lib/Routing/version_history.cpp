// Implements the history of the software versions of services.
#include "radishflow/Routing/version_history.h"

namespace radishflow {

void version_history::record(const server_list& list, time_point now)
{
    const std::lock_guard lock { m_mutex };
    if (!m_startedAt)
        m_startedAt = now;
    for (const auto& [id, server] : list.servers)
        m_lastListedAt[server.service][versionKeyOf(server.service, server.version)] = now;
    for (auto& [service, versions] : m_lastListedAt)
        std::erase_if(versions, [&](const auto& version) { return now - version.second > m_options.window; });
}

std::optional<version_key> version_history::soleVersion(const service_id& service, time_point now) const
{
    const std::lock_guard lock { m_mutex };
    const auto versions = m_lastListedAt.find(service);
    if (!m_startedAt || now - *m_startedAt < m_options.window || versions == m_lastListedAt.end() || versions->second.size() != 1)
        return std::nullopt;
    return versions->second.begin()->first;
}

} // namespace radishflow
