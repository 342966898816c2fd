// Declares ended_processes, which daemons' processes are known to have ended.
#pragma once

#include "radishflow/Daemon/known_daemon.h"
#include "radishflow/Support/ids.h"
#include "radishflow/Support/ranked_mutex.h"

#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

namespace radishflow {

/// Asks the hosts of daemons that the membership takes for dead. A host that refuses a connection to the port
/// on which the daemon listened has closed that process's sockets; one that says nothing proves nothing.
/// Thread-safe; rank Connections, not held while waiting.
class ended_processes {
public:
    /// Asks about each daemon that is not alive and forgets those that are; called about once a second.
    void probe(const std::vector<known_daemon>&);

    bool hasEnded(const known_daemon&) const;

private:
    mutable ranked_mutex m_mutex { lock_rank::Connections };
    std::unordered_map<daemon_id, std::string> m_ended; ///< The peer address of the process that ended.
};

} // namespace radishflow
