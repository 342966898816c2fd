// Declares server_connection_pool, the pool of idle connections to backend servers.
#pragma once

#include "radishflow/Relay/relay_socket.h"
#include "radishflow/Support/ids.h"
#include "radishflow/Support/ranked_mutex.h"

#include <cstddef>
#include <optional>
#include <unordered_map>
#include <vector>

namespace radishflow {

/// Connections are keyed by server id rather than by address, so that a server that takes over the address of another one
/// is not sent requests on connections of its predecessor. Thread-safe; uses one lock of rank Connections.
class server_connection_pool {
public:
    /// Returns the most recently used connection that has been idle for less than `maxIdleTime`, has not expired and has
    /// received nothing since.
    std::optional<relay_socket> acquire(const server_id&, time_point now, duration maxIdleTime);
    /// Adds a connection that expires after `lifetime`, which must be shorter than the server's own idle timeout. Closes it
    /// instead if the pool holds `maxToServer` connections to the server or is full.
    void release(const server_id&, relay_socket, time_point now, duration lifetime, std::size_t maxToServer);
    /// Closes expired connections.
    void prune(time_point now);
    /// Closes all connections to one server.
    void closeAll(const server_id&);
    /// Closes the connections to a server that are not idle any more. Returns whether any was found closed or with unexpected bytes
    /// before it expired, since the last call.
    bool takeBroken(const server_id&, time_point now);

private:
    struct idle_connection {
        relay_socket socket;
        time_point idleSince {};
        time_point expiresAt {};
    };

    /// Closes a connection that is not reused.
    void discard(const server_id&, idle_connection&, time_point now);

    static constexpr std::size_t maxIdleConnections = 500; ///< To all servers together; bounded by the file descriptors reserved for them.

    ranked_mutex m_mutex { lock_rank::Connections };
    std::unordered_map<server_id, std::vector<idle_connection>> m_idle;
    std::unordered_map<server_id, time_point> m_brokenAt; ///< When a connection to a server was found to have broken while it was idle.
    std::size_t m_count = 0;
};

} // namespace radishflow
