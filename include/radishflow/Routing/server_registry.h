// Declares server_registry, which builds the list of backend servers for routing from the platform's server table.
#pragma once

#include "radishflow/Routing/server_list.h"
#include "radishflow/Support/monotonic_clock.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <utility>
#include <vector>

namespace radishflow {

struct server_registry_options {
    duration removalMemory = std::chrono::seconds { 60 }; ///< How long a removal holds against an old copy of the list.
    duration rewriteTime = std::chrono::seconds { 5 }; ///< Time in which servers that are alive renew their entries in an old copy, or lose them.
};

/// A removal that took effect, or that is deferred because servers may have been unable to renew their entries.
struct removal_event {
    server_id server;
    bool isDeferred = false;
    duration deferredFor {}; ///< How long the removal was deferred before it took effect.
};

/// Applies additions and removals of backend servers. Servers cannot renew their entries during an outage of the platform, so
/// the caller defers removals until they have been able to. Not thread-safe.
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
        m_withheld.erase(server.id);
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
        m_withheld.erase(id);
        if (!m_servers.contains(id))
            return;
        if (canApplyRemovals())
            erase(id);
        else if (m_pendingRemovals.try_emplace(id, m_clock.now()).second)
            m_events.push_back({ .server = id, .isDeferred = true });
    }

    /// Replaces the whole list; servers that are not in the new list are removed as by remove(). An old copy, from which the
    /// platform has recovered, lists servers that have begun to drain or were removed since. These stay so until their entries
    /// change, also if the list is read again; a removed one that is still listed after the rewrite time is alive.
    void replaceAll(std::vector<listed_server> servers, bool isOldCopy = false)
    {
        std::set<server_id> removed;
        for (const auto& [id, server] : m_servers)
            removed.insert(id);
        for (const auto& [id, withheld] : m_withheld)
            removed.insert(id);
        for (listed_server& server : servers) {
            removed.erase(server.id);
            const listed_server* known = find(server.id);
            const bool isSameProcess = known && known->processStartMs == server.processStartMs;
            if (isSameProcess && known->isDraining && !server.isDraining && (isOldCopy || hasDrainedBefore(server))) {
                m_drainedBefore.insert_or_assign(server.id, server.revision);
                server.isDraining = true;
            }
            if (isOldCopy && (wasRemoved(server) || isRemovalDeferred(server)))
                m_withheld[server.id] = { .server = server, .until = m_clock.now() + m_options.rewriteTime };
            else if (!isWithheld(server))
                put(std::move(server));
        }
        for (const server_id& id : removed)
            remove(id);
    }

    void setZonesOutOfService(std::set<zone_id> zones) { m_zonesOutOfService = std::move(zones); }

    /// Keeps servers that are removed, or whose removal is deferred already, until a time; replaces an earlier one.
    void deferRemovalsUntil(time_point end) { m_removalsDeferredUntil = end; }

    /// Returns a snapshot of the current list. While hasPendingChanges() is true, the list can change by the passage of
    /// time alone.
    std::shared_ptr<const server_list> list()
    {
        if (canApplyRemovals()) {
            for (const auto& [id, removedAt] : std::exchange(m_pendingRemovals, {}))
                erase(id, removedAt);
        }
        std::vector<listed_server> alive;
        for (const auto& [id, withheld] : m_withheld) {
            if (withheld.until <= m_clock.now())
                alive.push_back(withheld.server);
        }
        for (listed_server& server : alive) {
            if (server.isDraining)
                m_drainedBefore.insert_or_assign(server.id, server.revision);
            put(std::move(server));
        }
        auto snapshot = std::make_shared<server_list>();
        snapshot->servers = m_servers;
        snapshot->zonesOutOfService = m_zonesOutOfService;
        return snapshot;
    }

    /// Returns the removals since the last call.
    std::vector<removal_event> takeRemovalEvents() { return std::exchange(m_events, {}); }

    /// Returns whether servers are kept that the platform no longer lists, or withheld although it lists them.
    bool hasPendingChanges() const { return !m_pendingRemovals.empty() || !m_withheld.empty(); }

private:
    struct removed_process {
        std::int64_t processStartMs = 0;
        time_point at {};
    };
    struct withheld_server {
        listed_server server;
        time_point until {};
    };

    /// Returns whether this process of the server was removed recently.
    bool wasRemoved(const listed_server& server) const
    {
        const auto removal = m_removals.find(server.id);
        return removal != m_removals.end() && removal->second.processStartMs == server.processStartMs && m_clock.now() - removal->second.at < m_options.removalMemory;
    }

    bool isRemovalDeferred(const listed_server& server) const
    {
        const listed_server* known = find(server.id);
        return known && known->processStartMs == server.processStartMs && m_pendingRemovals.contains(server.id);
    }

    /// Returns whether the entry is one of an old copy, whose server had begun to drain before.
    bool hasDrainedBefore(const listed_server& server) const
    {
        const auto entry = m_drainedBefore.find(server.id);
        return entry != m_drainedBefore.end() && entry->second == server.revision;
    }

    /// Returns whether the server is withheld because of this very entry.
    bool isWithheld(const listed_server& server) const
    {
        const auto withheld = m_withheld.find(server.id);
        return withheld != m_withheld.end() && withheld->second.server.revision == server.revision;
    }

    void erase(const server_id& id) { erase(id, m_clock.now()); }

    void erase(const server_id& id, time_point removedAt)
    {
        const auto server = m_servers.find(id);
        if (server == m_servers.end())
            return;
        const time_point now = m_clock.now();
        m_events.push_back({ .server = id, .deferredFor = now - removedAt });
        std::erase_if(m_removals, [&](const auto& entry) { return now - entry.second.at >= m_options.removalMemory; });
        m_removals.insert_or_assign(id, removed_process { .processStartMs = server->second.processStartMs, .at = now });
        m_servers.erase(server);
        m_drainedBefore.erase(id);
    }

    bool canApplyRemovals() const { return m_clock.now() >= m_removalsDeferredUntil; }

    const Clock& m_clock;
    server_registry_options m_options;
    std::map<server_id, listed_server> m_servers;
    std::map<server_id, time_point> m_pendingRemovals; ///< With the time of the removal.
    std::vector<removal_event> m_events;
    std::map<server_id, removed_process> m_removals; ///< Recent ones.
    std::map<server_id, withheld_server> m_withheld; ///< Listed by an old copy only.
    std::map<server_id, std::uint64_t> m_drainedBefore; ///< Servers that drain, although an old copy lists them as ready in an entry of this revision.
    std::set<zone_id> m_zonesOutOfService;
    time_point m_removalsDeferredUntil {};
};

} // namespace radishflow
