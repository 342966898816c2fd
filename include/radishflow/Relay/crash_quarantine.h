// Declares crash_quarantine, which refuses requests that have crashed backend servers.
#pragma once

#include "radishflow/Admission/quarantine.h"
#include "radishflow/Relay/abandoned_attempts.h"
#include "radishflow/Relay/request_identity.h"
#include "radishflow/Routing/listed_server.h"
#include "radishflow/Support/boottime_clock.h"
#include "radishflow/Support/ranked_mutex.h"
#include "radishflow/Support/recent_map.h"

#include <chrono>
#include <optional>
#include <string_view>
#include <vector>

namespace radishflow {

/// Keeps a request that is retried after a crash from crashing further servers: once two processes of servers have crashed while running
/// it, every daemon refuses it for a limited time. Thread-safe; uses one lock of rank Crashes.
class crash_quarantine {
public:
    /// Time for which a crash counts. The platform sets no time after which a request that has crashed servers may be sent to
    /// further ones.
    static constexpr duration retention = std::chrono::minutes { 30 };

    crash_quarantine();

    /// Returns a fingerprint of workspace, target and body.
    static request_fingerprint fingerprint(const workspace_id&, std::string_view target, std::string_view body);

    /// Records that the request was served, which shows for a limited time that this variant does not crash servers. Only
    /// needed for requests without a body, as many different ones of them have the same content.
    void recordServed(const request_identity&);

    /// Records that a server crashed before it completed the response, also for the requests abandoned at it.
    void recordCrash(const request_identity&, const listed_server&);
    /// Records the crash of a server for the requests abandoned at it.
    void recordCrash(const listed_server&);
    /// Records that the relay stopped awaiting a response which the server may still work on.
    void recordAbandoned(const request_identity&, const listed_server&);
    bool hasAbandonedAt(const listed_server&) const;
    /// Records the crash of servers that the list shows to have ended, for the requests abandoned at them. Call it after
    /// each change of the list or periodically.
    void recordReplacedServers(const server_list&);
    /// Returns the remaining time for which the request is refused, or nothing if it is not quarantined.
    std::optional<duration> remainingQuarantine(const request_identity&) const;
    /// Returns the crashes recorded by this daemon since the last call, to be sent to the other daemons.
    std::vector<crash_record> takeNewRecords();
    /// Adds crashes received from other daemons.
    void merge(const std::vector<crash_record>&);

private:
    /// Records a crash for one request; the caller holds the lock.
    void addCrash(const request_identity&, const listed_server&);

    boottime_clock m_clock;
    mutable ranked_mutex m_mutex { lock_rank::Crashes };
    quarantine<boottime_clock> m_quarantine;
    abandoned_attempts<boottime_clock> m_abandoned { m_clock };
    recent_map<request_fingerprint, bool> m_served; ///< Variants of requests that were served recently.
    std::vector<crash_record> m_pendingRecords; ///< Recorded by this daemon and not yet taken.
};

} // namespace radishflow
