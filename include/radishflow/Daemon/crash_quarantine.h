// Declares crash_quarantine, which quarantines requests that crash servers before they reach a third one.
#pragma once

#include "radishflow/Admission/quarantine.h"
#include "radishflow/Requests/refusal.h"
#include "radishflow/Requests/request_submission.h"
#include "radishflow/Support/boottime_clock.h"
#include "radishflow/Support/ranked_mutex.h"

#include <mutex>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace radishflow {

/// Quarantine shared by all workers. Thread-safe; rank Crashes.
class crash_quarantine {
public:
    crash_quarantine()
        : m_quarantine(m_clock, {})
    {
    }

    /// Admits a request to a server, or refuses one that has crashed two servers. At most one suspect runs at a
    /// server, so that the next crash identifies its cause. Each admission is followed by one call of recordEnd().
    std::optional<refusal> admit(const request_submission&);

    /// Records the end of a request; a complete response clears it of suspicion.
    void recordEnd(const request_submission&, bool isWhole);

    /// Records that the process that started at processStart (seconds since the epoch) crashed while it ran the
    /// request. Returns the records to publish to other daemons.
    std::vector<crash_record> recordCrash(const request_submission&, double processStart);

    void merge(const std::vector<crash_record>&);

    std::size_t size() const;

private:
    boottime_clock m_clock;
    mutable ranked_mutex m_mutex { lock_rank::Crashes };
    quarantine<boottime_clock> m_quarantine;
    std::unordered_map<server_id, request_fingerprint> m_suspects; ///< Suspect request that runs at each server.
    std::unordered_set<request_fingerprint> m_cleared;
};

} // namespace radishflow
