// Declares crash_confirmation, which distinguishes a server crash from a broken connection.
#pragma once

#include "radishflow/Backend/backend_client.h"
#include "radishflow/Support/ids.h"
#include "radishflow/Support/ranked_mutex.h"

#include <mutex>
#include <unordered_map>

namespace radishflow {

/// Records the process start time of each server. Thread-safe; rank Crashes.
class crash_confirmation {
public:
    explicit crash_confirmation(const backend_client& client)
        : m_client(client)
    {
    }

    /// Records the start time of a server's process, in seconds since the epoch.
    void recordProcessStart(const server_id&, double startTime);

    /// Returns the last recorded start time in seconds since the epoch; 0 when there is none.
    double startTime(const server_id&) const;

    /// Queries the server and waits for it. It has crashed when its metrics cannot be read or its process started
    /// later than startTime (seconds since the epoch).
    bool hasCrashed(const server_id&, double startTime) const;

private:
    const backend_client& m_client;
    mutable ranked_mutex m_mutex { lock_rank::Crashes };
    std::unordered_map<server_id, double> m_starts;
};

} // namespace radishflow
