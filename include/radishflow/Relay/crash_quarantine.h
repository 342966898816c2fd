// Declares crash_quarantine, which stops requests that crash each server that runs them.
#pragma once

#include "radishflow/Admission/quarantine.h"
#include "radishflow/Support/boottime_clock.h"
#include "radishflow/Support/ranked_mutex.h"

#include <optional>
#include <string_view>
#include <vector>

namespace radishflow {

/// Answers a request that comes again after it has crashed its servers: after two of them it is refused for a while at
/// every daemon. Thread-safe under one lock of rank Crashes.
class crash_quarantine {
public:
    crash_quarantine();

    /// Names a request by its caller, path and body; nothing without a body, since those are alike without being one.
    static std::optional<request_fingerprint> fingerprint(const workspace_id&, const service_id&, std::string_view target, std::string_view body);

    /// A server crashed before it answered the request.
    void recordCrash(const request_fingerprint&, const server_id&);
    /// Returns for how long the request is refused yet; nothing where it isn't.
    std::optional<duration> remainingQuarantine(const request_fingerprint&) const;
    /// Returns what became known since the last call, to tell other daemons.
    std::vector<crash_record> takeNewRecords();
    void merge(const std::vector<crash_record>&);

private:
    boottime_clock m_clock;
    mutable ranked_mutex m_mutex { lock_rank::Crashes };
    quarantine<boottime_clock> m_quarantine;
    std::vector<crash_record> m_pendingRecords; ///< Own news that other daemons weren't told yet.
};

} // namespace radishflow
