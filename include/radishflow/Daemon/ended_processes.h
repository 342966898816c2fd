// Declares ended_processes, which records the daemon processes that are known to have ended.
#pragma once

#include "radishflow/Daemon/known_daemon.h"
#include "radishflow/Support/ids.h"
#include "radishflow/Support/ranked_mutex.h"

#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

namespace radishflow {

/// Probes daemons that the membership considers dead. A refused connection to a daemon's port proves that its process
/// has ended; a missing response proves nothing. Thread-safe; rank Connections, not held while waiting.
class ended_processes {
public:
    /// Probes each daemon that is not alive and not known to have ended; called about once a second.
    void probe(const std::vector<known_daemon>&);

    bool hasEnded(const known_daemon&) const;

private:
    mutable ranked_mutex m_mutex { lock_rank::Connections };
    std::unordered_map<daemon_id, std::string> m_ended; ///< Peer address of the ended process.
};

} // namespace radishflow
