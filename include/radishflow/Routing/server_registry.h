// Declares server_registry, which builds the list of backend servers for routing from the platform's server table.
#pragma once

#include "radishflow/Routing/server_list.h"
#include "radishflow/Support/monotonic_clock.h"

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace radishflow {

struct server_registry_options {
    duration recoveryGrace = std::chrono::milliseconds { 2000 }; ///< Time in which servers renew their entries after an outage of the platform; set by the platform.
};

/// Applies additions and removals of backend servers. Servers cannot renew their entries while the platform is
/// unreachable, so entries that are removed during an outage are kept until the recovery grace has passed after the
/// platform is reachable again. Not thread-safe.
template <monotonic_clock Clock>
class server_registry {
public:
    explicit server_registry(const Clock& clock, const server_registry_options& options = {})
        : m_clock(clock)
        , m_options(options)
    {
    }

    void put(listed_server server)
    {
        m_pendingRemovals.erase(server.id);
        const auto listed = m_servers.find(server.id);
        const bool isSameProcess = listed != m_servers.end() && listed->second.processStartMs == server.processStartMs;
        server.listedAt = isSameProcess ? listed->second.listedAt : m_clock.now();
        m_servers.insert_or_assign(server.id, std::move(server));
    }

    /// Returns a listed server, or null; valid until the next change.
    const listed_server* find(const server_id& id) const
    {
        const auto server = m_servers.find(id);
        return server == m_servers.end() ? nullptr : &server->second;
    }

    void remove(const server_id& id)
    {
        if (!m_servers.contains(id))
            return;
        if (canApplyRemovals())
            m_servers.erase(id);
        else
            m_pendingRemovals.insert(id);
    }

    /// Replaces the whole list; servers that are not in the new list are removed as by remove().
    void replaceAll(std::vector<listed_server> servers)
    {
        std::set<server_id> removed;
        for (const auto& [id, server] : m_servers)
            removed.insert(id);
        for (listed_server& server : servers) {
            removed.erase(server.id);
            put(std::move(server));
        }
        for (const server_id& id : removed)
            remove(id);
    }

    void setZonesOutOfService(std::set<zone_id> zones) { m_zonesOutOfService = std::move(zones); }

    void setPlatformUnreachable() { m_isPlatformUnreachable = true; }
    void setPlatformReachable()
    {
        if (std::exchange(m_isPlatformUnreachable, false))
            m_platformRecoveredAt = m_clock.now();
    }

    /// Returns a snapshot of the current list. While hasPendingRemovals() is true, the list can change by the passage of
    /// time alone.
    std::shared_ptr<const server_list> list()
    {
        if (canApplyRemovals()) {
            for (const server_id& id : m_pendingRemovals)
                m_servers.erase(id);
            m_pendingRemovals.clear();
        }
        auto snapshot = std::make_shared<server_list>();
        snapshot->servers = m_servers;
        snapshot->zonesOutOfService = m_zonesOutOfService;
        return snapshot;
    }

    /// Returns whether servers are kept that the platform no longer lists.
    bool hasPendingRemovals() const { return !m_pendingRemovals.empty(); }

private:
    bool canApplyRemovals() const { return !m_isPlatformUnreachable && (!m_platformRecoveredAt || m_clock.now() - *m_platformRecoveredAt >= m_options.recoveryGrace); }

    const Clock& m_clock;
    server_registry_options m_options;
    std::map<server_id, listed_server> m_servers;
    std::set<server_id> m_pendingRemovals;
    std::set<zone_id> m_zonesOutOfService;
    bool m_isPlatformUnreachable = false;
    std::optional<time_point> m_platformRecoveredAt;
};

} // namespace radishflow
