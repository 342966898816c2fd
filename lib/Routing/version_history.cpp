// Implements the history of the software versions of services.
#include "radishflow/Routing/version_history.h"

#include <algorithm>

namespace radishflow {

void version_history::record(const server_list& list, time_point now)
{
    const std::lock_guard lock { m_mutex };
    if (!m_startedAt)
        m_startedAt = now;
    for (auto& [service, versions] : m_versions) {
        for (auto& [version, listing] : versions)
            listing.isListed = false;
    }
    for (const auto& [id, server] : list.servers)
        m_versions[server.service][versionKeyOf(server.service, server.version)] = { .lastListedAt = now, .isListed = true };
    for (auto& [service, versions] : m_versions)
        std::erase_if(versions, [&](const auto& version) { return now - version.second.lastListedAt > m_options.window; });
}

void version_history::merge(const service_id& service, const std::map<version_key, time_point>& lastListedAt, time_point recordedSince)
{
    const std::lock_guard lock { m_mutex };
    m_recordedSince[service] = recordedSince;
    for (const auto& [version, listedAt] : lastListedAt) {
        version_listing& listing = m_versions[service][version];
        listing.lastListedAt = std::max(listing.lastListedAt, listedAt);
    }
}

std::map<service_id, std::map<version_key, version_history::version_listing>> version_history::versions() const
{
    const std::lock_guard lock { m_mutex };
    return m_versions;
}

std::optional<version_key> version_history::soleVersion(const service_id& service, time_point now) const
{
    const std::lock_guard lock { m_mutex };
    if (!m_startedAt)
        return std::nullopt;
    const auto recorded = m_recordedSince.find(service);
    const time_point since = recorded == m_recordedSince.end() ? *m_startedAt : std::min(*m_startedAt, recorded->second);
    const auto versions = m_versions.find(service);
    if (now - since < m_options.window || versions == m_versions.end())
        return std::nullopt;
    std::optional<version_key> sole;
    for (const auto& [version, listing] : versions->second) {
        if (now - listing.lastListedAt > m_options.window)
            continue;
        if (sole)
            return std::nullopt;
        sole = version;
    }
    return sole;
}

bool version_history::isServiceMixed(const version_key& version, time_point now) const
{
    const std::lock_guard lock { m_mutex };
    const auto isRecent = [&](const auto& listed) { return now - listed.second.lastListedAt <= m_options.window; };
    for (const auto& [service, versions] : m_versions) {
        if (versions.contains(version))
            return std::count_if(versions.begin(), versions.end(), isRecent) > 1;
    }
    return true;
}

} // namespace radishflow
