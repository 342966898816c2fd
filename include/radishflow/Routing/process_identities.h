// Declares process_identities, which keeps the servers whose entry may describe a process that has ended.
#pragma once

#include "radishflow/Routing/server_list.h"
#include "radishflow/Support/ids.h"
#include "radishflow/Support/monotonic_clock.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace radishflow {

struct process_identities_options {
    duration minInterval = std::chrono::milliseconds { 100 }; ///< Between two questions to a server; doubles with each one.
    duration maxInterval = std::chrono::milliseconds { 800 };
    duration memory = std::chrono::seconds { 60 }; ///< Time for which a server that is not listed is kept.
};

/// A server may start again under its id without a new entry in the list, such as while it cannot reach the platform. After its
/// connections broke, the entry is trusted again only once the server has stated the start of its process, or the entry names
/// another process. Not thread-safe.
class process_identities {
public:
    explicit process_identities(const process_identities_options& options = {})
        : m_options(options)
    {
    }

    /// Records that the server refused connections, so that the process which its entry names may have ended.
    void recordRefused(const listed_server& server, time_point now)
    {
        // Processes without a known start cannot be told apart.
        if (server.processStartMs == 0)
            return;
        unidentified_server& recorded = m_unidentified[server.id];
        const bool isNewProcess = recorded.processStartMs != server.processStartMs;
        recorded = { .processStartMs = server.processStartMs, .recordedAt = now, .nextQuestionAt = now, .isNeeded = !isNewProcess && recorded.isNeeded };
    }

    /// Records which process responded to a question asked at a time; 0 if the server does not state it.
    void recordProcess(const server_id& server, std::int64_t processStartMs, time_point askedAt)
    {
        const auto found = m_unidentified.find(server);
        if (found == m_unidentified.end() || found->second.recordedAt > askedAt)
            return;
        if (processStartMs == 0 || processStartMs == found->second.processStartMs)
            m_unidentified.erase(found);
        else
            found->second.isOtherProcess = true;
    }

    /// Returns whether the entry describes the process that runs, as far as is known.
    bool isKnown(const listed_server& server) const
    {
        const auto found = m_unidentified.find(server.id);
        return found == m_unidentified.end() || found->second.processStartMs != server.processStartMs;
    }

    /// Records that a request needs to know which process of the server runs.
    void recordNeed(const server_id& server)
    {
        if (const auto found = m_unidentified.find(server); found != m_unidentified.end())
            found->second.isNeeded = true;
    }

    /// Makes the questions to the servers of a service due at once, since they are reached again.
    void resetIntervals(const server_list& list, const service_id& service, time_point now)
    {
        for (auto& [id, unidentified] : m_unidentified) {
            const auto server = list.servers.find(id);
            if (server == list.servers.end() || server->second.service != service)
                continue;
            unidentified.nextQuestionAt = now;
            unidentified.interval = {};
        }
    }

    /// Returns the servers to ask now for the start of their process.
    std::vector<listed_server> takeDueQuestions(const server_list& list, time_point now)
    {
        std::vector<listed_server> due;
        for (auto& [id, unidentified] : m_unidentified) {
            const auto server = list.servers.find(id);
            if (server == list.servers.end() || isKnown(server->second) || !unidentified.isNeeded || unidentified.isOtherProcess || now < unidentified.nextQuestionAt)
                continue;
            due.push_back(server->second);
            unidentified.interval = unidentified.interval == duration::zero() ? m_options.minInterval : std::min(2 * unidentified.interval, m_options.maxInterval);
            unidentified.nextQuestionAt = now + unidentified.interval;
        }
        return due;
    }

    /// Forgets servers whose entry names another process by now. One that is no longer listed may return with its former entry.
    void retain(const server_list& list, time_point now)
    {
        std::erase_if(m_unidentified, [&](const auto& pair) {
            const auto server = list.servers.find(pair.first);
            return server == list.servers.end() ? now - pair.second.recordedAt > m_options.memory : isKnown(server->second);
        });
    }

    std::size_t size() const { return m_unidentified.size(); }

private:
    struct unidentified_server {
        std::int64_t processStartMs = 0; ///< Of the process that the entry names.
        time_point recordedAt {};
        time_point nextQuestionAt {};
        duration interval {};
        bool isNeeded = false; ///< A request needs to know which process runs.
        bool isOtherProcess = false; ///< The server has stated another process.
    };

    process_identities_options m_options;
    std::unordered_map<server_id, unidentified_server> m_unidentified;
};

} // namespace radishflow
