// Declares crash_confirmation, which tells a crash of a server from a broken connection.
#pragma once

#include "radishflow/Backend/backend_client.h"
#include "radishflow/Support/ids.h"
#include "radishflow/Support/ranked_mutex.h"

#include <mutex>
#include <unordered_map>

namespace radishflow {

/// Remembers when each server's process started. Thread-safe; rank Crashes.
class crash_confirmation {
public:
    explicit crash_confirmation(const backend_client& client)
        : m_client(client)
    {
    }

    /// Takes a reading of when a server's process started, in seconds since the epoch.
    void noteStart(const server_id&, double startTime);

    /// Returns the last reading; 0 for none.
    double startTime(const server_id&) const;

    /// Asks the server: it has crashed when nobody listens, or when its process is younger than the reading.
    bool hasCrashed(const server_id&, double startTime) const;

private:
    const backend_client& m_client;
    mutable ranked_mutex m_mutex { lock_rank::Crashes };
    std::unordered_map<server_id, double> m_starts;
};

} // namespace radishflow
