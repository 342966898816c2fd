// Declares process_identities, which keeps the servers whose entry may describe a process that has ended.
#pragma once

#include "radishflow/Routing/server_list.h"
#include "radishflow/Support/ids.h"
#include "radishflow/Support/monotonic_clock.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace radishflow {

struct process_identities_options {
    duration minInterval = std::chrono::milliseconds { 100 }; ///< Between two queries to a server; doubles with each one.
    duration maxInterval = std::chrono::milliseconds { 800 };
    duration memory = std::chrono::seconds { 60 }; ///< Time for which a server that is not listed is kept.
    duration statementLifetime = std::chrono::milliseconds { 300 }; ///< A server that ends needs longer to start again.
};

/// A server may start again under its id without a new entry in the list, such as while it cannot reach the platform. After a
/// connection to it failed or was found closed, its entry is trusted again once the server has stated the start of the process that the entry names, the
/// entry has been renewed, or it names a later process. Not thread-safe.
class process_identities {
public:
    explicit process_identities(const process_identities_options& options = {})
        : m_options(options)
    {
    }

    /// Records that a connection which was begun at a time could not be established, so that the process may have ended.
    void recordConnectFailure(const listed_server& server, time_point begunAt)
    {
        // Processes without a known start cannot be told apart.
        if (server.processStartMs == 0)
            return;
        const auto [entry, isNew] = m_unidentified.try_emplace(server.id);
        unidentified_server& recorded = entry->second;
        if (isNew || recorded.processStartMs != server.processStartMs)
            recorded = { .processStartMs = server.processStartMs, .failedAt = begunAt, .nextQueryAt = begunAt };
        recorded.failedAt = std::max(recorded.failedAt, begunAt);
        recorded.statedStartMs.reset();
    }

    /// Records the start of the process in the response to a query that was sent at a time; 0 if the server does not state it.
    void recordProcess(const listed_server& server, std::int64_t processStartMs, time_point queriedAt)
    {
        const auto found = m_unidentified.find(server.id);
        if (found != m_unidentified.end() && found->second.failedAt > queriedAt)
            return;
        if (processStartMs == 0 || processStartMs == server.processStartMs) {
            m_statements[server.id] = { .processStartMs = server.processStartMs, .statedAt = queriedAt };
            if (found != m_unidentified.end())
                m_unidentified.erase(found);
            return;
        }
        if (found == m_unidentified.end())
            recordConnectFailure(server, queriedAt);
        m_unidentified.at(server.id).statedStartMs = processStartMs;
    }

    /// Records that a query that was sent at a time was not answered, so that the process may be another one.
    void recordSilence(const listed_server& server, time_point queriedAt)
    {
        const auto renewed = m_renewals.find(server.id);
        // The server renews its entry, but its reports are late.
        if (renewed != m_renewals.end() && renewed->second.processStartMs == server.processStartMs)
            m_statements[server.id] = { .processStartMs = server.processStartMs, .statedAt = queriedAt };
        else if (!m_unidentified.contains(server.id))
            recordConnectFailure(server, queriedAt);
    }

    /// Returns whether the server has just stated that the process which its entry names runs. Streams that go on at it need this: a
    /// server without requests may restart unnoticed.
    bool hasJustStated(const listed_server& server, time_point now) const
    {
        if (server.processStartMs == 0)
            return true;
        const auto found = m_statements.find(server.id);
        return isKnown(server) && found != m_statements.end() && found->second.processStartMs == server.processStartMs && now - found->second.statedAt < m_options.statementLifetime;
    }

    /// Returns whether the entry describes the process that runs, as far as is known.
    bool isKnown(const listed_server& server) const
    {
        const auto found = m_unidentified.find(server.id);
        return found == m_unidentified.end() || server.processStartMs == 0 || namesSuccessor(server, found->second);
    }

    /// Records that a request needs to know which process of the server runs.
    void recordNeed(const server_id& server)
    {
        if (const auto found = m_unidentified.find(server); found != m_unidentified.end())
            found->second.isNeeded = true;
    }

    /// Makes the queries to the servers of a service due at once.
    void resetIntervals(const server_list& list, const service_id& service, time_point now)
    {
        for (auto& [id, unidentified] : m_unidentified) {
            const auto server = list.servers.find(id);
            if (server == list.servers.end() || server->second.service != service)
                continue;
            unidentified.nextQueryAt = now;
            unidentified.interval = {};
        }
    }

    /// Returns the servers to query now for the start of their process, those with the fewest queries so far first.
    std::vector<listed_server> takeDueQueries(const server_list& list, time_point now, std::size_t maxCount)
    {
        std::vector<std::pair<duration, server_id>> due;
        for (const auto& [id, unidentified] : m_unidentified) {
            const auto server = list.servers.find(id);
            if (server != list.servers.end() && !isKnown(server->second) && unidentified.isNeeded && !unidentified.statedStartMs && now >= unidentified.nextQueryAt)
                due.emplace_back(unidentified.interval, id);
        }
        std::sort(due.begin(), due.end());
        due.resize(std::min(due.size(), maxCount));
        std::vector<listed_server> servers;
        servers.reserve(due.size());
        for (const auto& [interval, id] : due) {
            unidentified_server& unidentified = m_unidentified.at(id);
            unidentified.interval = interval == duration::zero() ? m_options.minInterval : std::min(2 * interval, m_options.maxInterval);
            unidentified.nextQueryAt = now + unidentified.interval;
            servers.push_back(list.servers.at(id));
        }
        return servers;
    }

    /// Trusts the entries of the list that were renewed since a time: only the process that an entry names renews it.
    void recordRenewals(const server_list& list, time_point renewedSince)
    {
        std::erase_if(m_unidentified, [&](const auto& pair) {
            const bool isRenewed = list.servers.contains(pair.first) && !pair.second.statedStartMs && pair.second.failedAt < renewedSince;
            if (isRenewed)
                m_renewals[pair.first] = { .processStartMs = pair.second.processStartMs, .statedAt = renewedSince };
            return isRenewed;
        });
    }

    /// Forgets servers whose entry names the process that runs by now. One that is no longer listed may return with its former entry.
    void retain(const server_list& list, time_point now)
    {
        std::erase_if(m_unidentified, [&](const auto& pair) {
            const auto server = list.servers.find(pair.first);
            return server == list.servers.end() ? now - pair.second.failedAt > m_options.memory : namesSuccessor(server->second, pair.second);
        });
        std::erase_if(m_statements, [&](const auto& pair) { return now - pair.second.statedAt > m_options.statementLifetime; });
        std::erase_if(m_renewals, [&](const auto& pair) { return now - pair.second.statedAt > m_options.memory; });
    }

    std::size_t size() const { return m_unidentified.size(); }

private:
    struct unidentified_server {
        std::int64_t processStartMs = 0; ///< Of the process to which the connection failed.
        time_point failedAt {};
        time_point nextQueryAt {};
        duration interval {}; ///< Until the next query; zero before the first one.
        bool isNeeded = false; ///< A request needs to know which process runs.
        std::optional<std::int64_t> statedStartMs; ///< Another process that the server has stated since.
    };

    struct process_statement {
        std::int64_t processStartMs = 0;
        time_point statedAt {};
    };

    // An entry from an older copy of the list names an earlier process.
    static bool namesSuccessor(const listed_server& server, const unidentified_server& unidentified)
    {
        return unidentified.statedStartMs ? server.processStartMs == *unidentified.statedStartMs : server.processStartMs > unidentified.processStartMs;
    }

    process_identities_options m_options;
    std::unordered_map<server_id, unidentified_server> m_unidentified;
    std::unordered_map<server_id, process_statement> m_statements; ///< Of servers whose entry names the process that runs.
    std::unordered_map<server_id, process_statement> m_renewals; ///< Of servers that were trusted because their entries were renewed.
};

} // namespace radishflow
