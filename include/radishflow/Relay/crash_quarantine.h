// Declares crash_quarantine, which refuses requests that have crashed backend servers.
#pragma once

#include "radishflow/Admission/part_quarantine.h"
#include "radishflow/Admission/quarantine.h"
#include "radishflow/Relay/abandoned_attempts.h"
#include "radishflow/Relay/planned_exits.h"
#include "radishflow/Relay/request_identity.h"
#include "radishflow/Routing/listed_server.h"
#include "radishflow/Support/boottime_clock.h"
#include "radishflow/Support/ranked_mutex.h"
#include "radishflow/Support/recent_map.h"

#include <chrono>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace radishflow {

/// Keeps requests from crashing further servers: once two processes of servers have crashed while running a request (more if they had
/// made progress on it), or several while running requests with the same prompt part, every daemon refuses it for a limited time. Planned
/// exits of servers are no crashes, whichever daemon took them for such. Thread-safe; uses one lock of rank Crashes.
class crash_quarantine {
public:
    /// Time for which a crash counts. The platform sets no time after which a request that has crashed servers may be sent to
    /// further ones.
    static constexpr duration retention = std::chrono::minutes { 30 };

    explicit crash_quarantine(const planned_exits_options& = {});

    /// Returns a fingerprint of workspace, target and body.
    static request_fingerprint fingerprint(const workspace_id&, std::string_view target, std::string_view body);

    /// Records that the request was served, which clears the parts of its prompt, and shows for a limited time that this
    /// variant does not crash servers.
    void recordServed(const request_identity&);
    /// Returns whether a part of the prompt was in flight at a crash and has not been cleared since.
    bool hasSuspectParts(const request_identity&) const;
    /// Returns whether one crash is recorded of the request, or of a part of its prompt, so that a further one may quarantine it.
    bool isSuspect(const request_identity&) const;
    /// Returns whether a part of the prompt crashes servers.
    bool hasQuarantinedParts(const request_identity&) const;

    /// Records that a server crashed before it completed the response, also for the requests abandoned at it.
    void recordCrash(const request_identity&, const listed_server&, response_progress = response_progress::None);
    /// Records the crash of a server for the requests abandoned at it.
    void recordCrash(const listed_server&);
    /// Records that the relay stopped awaiting a response which the server may still work on.
    void recordAbandoned(const request_identity&, const listed_server&, response_progress = response_progress::None);
    bool hasAbandonedAt(const listed_server&) const;
    /// Records that a server has said that it leaves.
    void recordLeaving(const listed_server&);
    /// Updates the sizes of the availability zones and which servers leave, and records the crashes of servers whose successors are
    /// listed, for the requests abandoned at them. `confirmedAt` is when this daemon last knew its list to be current. Call it
    /// periodically.
    void applyServerList(const std::shared_ptr<const server_list>&, time_point confirmedAt);
    /// Returns the remaining time for which the request is refused, or nothing if it is not quarantined.
    std::optional<duration> remainingQuarantine(const request_identity&) const;
    /// Returns the crashes recorded by this daemon since the last call, to be sent to the other daemons.
    std::vector<crash_record> takeNewRecords();
    /// Returns the records of this daemon that have since turned out to be planned exits, to be removed from the fleet's table.
    std::vector<crash_record> takeWithdrawnRecords();
    /// Adds crashes received from other daemons.
    void merge(const std::vector<crash_record>&);
    /// Returns the evidence on prompt parts recorded by this daemon since the last call, to be sent to the other daemons.
    std::vector<part_evidence> takeNewPartEvidence();
    /// Adds evidence on prompt parts received from other daemons.
    void mergeParts(const std::vector<part_evidence>&);
    /// Returns the changes of the fleet's table of crashes that this daemon has to make for prompt parts.
    part_table_changes takePartTableChanges();
    /// Apply changes of that table by any daemon.
    void addPartRows(const std::vector<part_evidence>&);
    void removePartRows(const std::vector<part_evidence>&);

private:
    /// Records a crash for one request unless the process exited by plan; the caller holds the lock, as for all below.
    void addCrash(const abandoned_attempt&, process_end, time_point endedBy);
    void addRequestCrash(const request_identity&, const server_id& process, response_progress);
    /// Records that a server ended while a request ran there, with most servers of its availability zone.
    void addZoneRestart(const abandoned_attempt&);
    /// Returns whether what is taken for a crash was a planned exit, and logs it.
    bool isPlannedExit(const server_id& process, process_end, time_point endedBy) const;
    /// Forgets records that the announcement of a planned exit explains.
    void withdraw(const server_id& process);
    std::vector<part_evidence> withoutPlannedExits(const std::vector<part_evidence>&) const;
    /// Logs which parts are quarantined if they have changed.
    void logPartChanges() const;

    boottime_clock m_clock;
    mutable ranked_mutex m_mutex { lock_rank::Crashes };
    quarantine<boottime_clock> m_quarantine;
    abandoned_attempts<boottime_clock> m_abandoned { m_clock };
    planned_exits m_exits;
    recent_map<request_fingerprint, bool> m_served; ///< Variants of requests that were served recently.
    mutable part_quarantine<boottime_clock> m_parts { m_clock, { .retention = retention } }; ///< Decides when it is asked.
    mutable std::vector<quarantined_parts> m_loggedParts; ///< As last logged.
    std::shared_ptr<const server_list> m_servers; ///< As last applied.
    std::vector<crash_record> m_pendingRecords; ///< Recorded by this daemon and not yet taken.
    std::vector<crash_record> m_withdrawnRecords; ///< Not yet taken.
};

} // namespace radishflow
