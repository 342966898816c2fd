// Declares planned_exits, which distinguishes planned exits of backend servers from crashes.
#pragma once

#include "radishflow/Routing/server_list.h"
#include "radishflow/Support/monotonic_clock.h"

#include <algorithm>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace radishflow {

/// Returns the id of one process of a server, which differs from that of a process that starts again under the server's id.
inline server_id processIdOf(const listed_server& server)
{
    return server_id { server.id.value() + '@' + std::to_string(server.processStartMs) };
}

/// Returns the entry that names a process; null if none does.
inline const listed_server* findProcess(const server_list& list, const server_id& process)
{
    const auto found = list.servers.find(server_id { process.value().substr(0, process.value().rfind('@')) });
    return found != list.servers.end() && processIdOf(found->second) == process ? &found->second : nullptr;
}

struct planned_exits_options {
    duration minNotice = std::chrono::seconds { 1 }; ///< Minimum time between the announcement and a planned exit; a process that ends sooner has crashed.
    duration memory = std::chrono::minutes { 31 }; ///< Longer than records of crashes are kept.
};

/// How the end of a process showed.
enum class process_end {
    Broken, ///< Its connections broke, and its host refused new ones.
    Replaced, ///< Another process is listed at its id or address, so it ended at an unknown earlier time.
};

/// Keeps which processes of servers have announced that they leave, and since when. Not thread-safe.
class planned_exits {
public:
    explicit planned_exits(const planned_exits_options& options = {})
        : m_options(options)
    {
    }

    /// Applies the current list of servers; `confirmedAt` is when this daemon last knew its list to be current. Returns the processes of
    /// which more ends are planned than were known to be.
    std::vector<server_id> applyList(const std::shared_ptr<const server_list>& list, time_point now, time_point confirmedAt)
    {
        std::vector<server_id> leaving;
        if (m_list != list) {
            forgetOld(now);
            for (const auto& [id, server] : list->servers)
                applyEntry(server, now, leaving);
            recordRemovals(*list, now, leaving);
            m_list = list;
        }
        m_knownAt = std::min(now, confirmedAt);
        return leaving;
    }

    /// Records that a server has said itself that it leaves. Returns whether more of its ends are planned than were known to be.
    bool recordLeaving(const listed_server& server, time_point now) { return add(processIdOf(server), { .since = now, .recordedAt = now, .isStated = true }); }

    /// Returns whether the process ended by plan, if it ended at this time or, if it was replaced, not later.
    bool explains(const server_id& process, process_end end, time_point at) const
    {
        const auto found = m_notices.find(process);
        if (found == m_notices.end() || at < found->second.since + m_options.minNotice)
            return false;
        // The entry of a crashed server is removed as well, before its successor is listed.
        return end == process_end::Broken || found->second.isStated;
    }

    /// Returns the time from which on an end of the process is a planned exit, or nothing if it has not announced one.
    std::optional<time_point> expectedFrom(const server_id& process) const
    {
        const auto found = m_notices.find(process);
        return found == m_notices.end() ? std::nullopt : std::optional { found->second.since + m_options.minNotice };
    }

private:
    struct notice {
        time_point since {}; ///< Not later than the announcement.
        time_point recordedAt {};
        bool isStated = false; ///< The server is listed as draining or has said that it leaves; otherwise its entry was removed.
    };

    bool wasListed(const listed_server& server) const
    {
        if (!m_list)
            return false;
        const auto known = m_list->servers.find(server.id);
        return known != m_list->servers.end() && known->second.processStartMs == server.processStartMs;
    }

    void applyEntry(const listed_server& server, time_point now, std::vector<server_id>& leaving)
    {
        const server_id process = processIdOf(server);
        if (!server.isDraining) {
            // Its entry had lapsed, as when it could not reach the store.
            const auto found = m_notices.find(process);
            if (found != m_notices.end() && !found->second.isStated)
                m_notices.erase(found);
            return;
        }
        // A server that was listed as draining when this daemon first saw it may have announced its exit at any time before.
        const time_point since = wasListed(server) ? m_knownAt : time_point {};
        if (add(process, { .since = since, .recordedAt = now, .isStated = true }))
            leaving.push_back(process);
    }

    void recordRemovals(const server_list& list, time_point now, std::vector<server_id>& leaving)
    {
        if (!m_list)
            return;
        for (const auto& [id, server] : m_list->servers) {
            if (!list.servers.contains(id) && add(processIdOf(server), { .since = m_knownAt, .recordedAt = now }))
                leaving.push_back(processIdOf(server));
        }
    }

    bool add(const server_id& process, const notice& added)
    {
        const auto [entry, isNew] = m_notices.try_emplace(process, added);
        if (isNew)
            return true;
        entry->second.isStated |= added.isStated;
        if (added.since >= entry->second.since)
            return false;
        entry->second.since = added.since;
        return true;
    }

    void forgetOld(time_point now)
    {
        std::erase_if(m_notices, [&](const auto& entry) { return now - entry.second.recordedAt > m_options.memory; });
    }

    planned_exits_options m_options;
    std::shared_ptr<const server_list> m_list; ///< As last applied.
    time_point m_knownAt {}; ///< When the list was last known to be current.
    std::unordered_map<server_id, notice> m_notices; ///< By process.
};

} // namespace radishflow
