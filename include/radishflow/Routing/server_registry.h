// Declares server_registry, which turns the news about backend servers into the list to route by.
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
    duration returnGrace = std::chrono::milliseconds { 2000 }; ///< Time that servers have to list themselves again after an outage; a platform bound.
};

/// Entries that vanish around an outage of the platform are kept until its return and a grace, since their servers
/// could not renew them. Not thread-safe.
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
        m_missing.erase(server.id);
        const auto known = m_servers.find(server.id);
        const bool isSameProcess = known != m_servers.end() && known->second.processStartMs == server.processStartMs;
        server.listedAt = isSameProcess ? known->second.listedAt : m_clock.now();
        m_servers.insert_or_assign(server.id, std::move(server));
    }

    void remove(const server_id& id)
    {
        if (!m_servers.contains(id))
            return;
        if (isSettled())
            m_servers.erase(id);
        else
            m_missing.insert(id);
    }

    /// Takes a whole list; servers that it lacks are removed.
    void replaceAll(std::vector<listed_server> servers)
    {
        std::set<server_id> gone;
        for (const auto& [id, server] : m_servers)
            gone.insert(id);
        for (listed_server& server : servers) {
            gone.erase(server.id);
            put(std::move(server));
        }
        for (const server_id& id : gone)
            remove(id);
    }

    void setZonesOutOfService(std::set<zone_id> zones) { m_zonesOut = std::move(zones); }

    void setPlatformUnreachable() { m_isLost = true; }
    void setPlatformReachable()
    {
        if (std::exchange(m_isLost, false))
            m_backAt = m_clock.now();
    }

    /// Returns the list as of now; while hasPendingRemovals() it changes with time alone.
    std::shared_ptr<const server_list> list()
    {
        if (isSettled()) {
            for (const server_id& id : m_missing)
                m_servers.erase(id);
            m_missing.clear();
        }
        auto made = std::make_shared<server_list>();
        made->servers = m_servers;
        made->zonesOut = m_zonesOut;
        return made;
    }

    /// Whether servers are kept of which the platform no longer tells.
    bool hasPendingRemovals() const { return !m_missing.empty(); }

private:
    bool isSettled() const { return !m_isLost && (!m_backAt || m_clock.now() - *m_backAt >= m_options.returnGrace); }

    const Clock& m_clock;
    server_registry_options m_options;
    std::map<server_id, listed_server> m_servers;
    std::set<server_id> m_missing;
    std::set<zone_id> m_zonesOut;
    bool m_isLost = false;
    std::optional<time_point> m_backAt;
};

} // namespace radishflow
