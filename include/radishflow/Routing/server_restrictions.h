// Declares server_restrictions, which records the backend servers that take no requests from this daemon for now, by their own
// responses.
#pragma once

#include "radishflow/Routing/listed_server.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>
#include <unordered_map>

namespace radishflow {

struct server_restrictions_options {
    duration memory = std::chrono::minutes { 10 }; ///< Longer than a server takes to leave.
};

/// Keeps which processes of servers are leaving, and which have asked this daemon for a pause. A restriction
/// holds also while the platform lists the server as ready, or does not list it. Not thread-safe.
class server_restrictions {
public:
    explicit server_restrictions(const server_restrictions_options& options = {})
        : m_options(options)
    {
    }

    /// Records that the server has said that it leaves.
    void recordLeaving(const listed_server& server, time_point now) { entryOf(server, now).isLeaving = true; }
    /// Records that the server wants no requests from this daemon until a time.
    void recordPause(const listed_server& server, time_point until, time_point now)
    {
        time_point& pausedUntil = entryOf(server, now).pausedUntil;
        pausedUntil = std::max(pausedUntil, until);
    }

    bool accepts(const listed_server& server, time_point now) const
    {
        const entry* found = find(server);
        return !found || (!found->isLeaving && found->pausedUntil <= now);
    }
    /// Returns the end of a server's pause; nothing if it is leaving or not paused.
    std::optional<time_point> pausedUntil(const listed_server& server, time_point now) const
    {
        const entry* found = find(server);
        return found && !found->isLeaving && found->pausedUntil > now ? std::optional { found->pausedUntil } : std::nullopt;
    }

private:
    struct entry {
        std::int64_t processStartMs = 0;
        bool isLeaving = false;
        time_point pausedUntil {};
        time_point recordedAt {};
    };

    const entry* find(const listed_server& server) const
    {
        const auto found = m_entries.find(server.id);
        return found != m_entries.end() && found->second.processStartMs == server.processStartMs ? &found->second : nullptr;
    }

    // Forgets expired entries, and what an earlier process of the server said.
    entry& entryOf(const listed_server& server, time_point now)
    {
        std::erase_if(m_entries, [&](const auto& pair) { return now - pair.second.recordedAt > m_options.memory && pair.second.pausedUntil <= now; });
        entry& found = m_entries[server.id];
        if (found.processStartMs != server.processStartMs)
            found = { .processStartMs = server.processStartMs };
        found.recordedAt = now;
        return found;
    }

    server_restrictions_options m_options;
    std::unordered_map<server_id, entry> m_entries;
};

} // namespace radishflow
