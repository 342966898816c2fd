// Declares crash_watch, which keeps requests that crash servers from reaching a third one.
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

/// The quarantine as all workers share it. Thread-safe; rank Crashes.
class crash_watch {
public:
    crash_watch()
        : m_quarantine(m_clock, {})
    {
    }

    /// Admits a request to a server, or refuses one that has crashed two servers. A suspect runs only where no
    /// other suspect runs, so that the next crash tells them apart. Each admission is followed by one ended().
    std::optional<refusal> admit(const request_submission&);

    /// The request has ended; a whole answer clears it of suspicion.
    void ended(const request_submission&, bool isWhole);

    /// The process that started then, in seconds since the epoch, crashed under the request. Returns what other
    /// daemons have to learn.
    std::vector<crash_record> crashed(const request_submission&, double processStart);

    void merge(const std::vector<crash_record>&);

    std::size_t size() const;

private:
    boottime_clock m_clock;
    mutable ranked_mutex m_mutex { lock_rank::Crashes };
    quarantine<boottime_clock> m_quarantine;
    std::unordered_map<server_id, request_fingerprint> m_suspects; ///< The suspect that runs at a server.
    std::unordered_set<request_fingerprint> m_cleared;
};

} // namespace radishflow
