// Declares server_connection_pool, the idle connections to backend servers.
#pragma once

#include "radishflow/Relay/relay_socket.h"
#include "radishflow/Support/ids.h"
#include "radishflow/Support/ranked_mutex.h"

#include <cstddef>
#include <optional>
#include <unordered_map>
#include <vector>

namespace radishflow {

/// Keeps connections by server, so that a server that takes over an address gets none of its predecessor's.
/// Thread-safe under one lock of rank Connections.
class server_connection_pool {
public:
    /// Returns the connection that was used last, if it has been idle for less than the age and is still clean.
    std::optional<relay_socket> acquire(const server_id&, time_point now, duration maxIdleTime);
    /// Keeps a connection until the server is expected to close it, unless so many to it are kept already.
    void release(const server_id&, relay_socket, time_point now, duration lifetime, std::size_t maxToServer);
    /// Closes those that have been idle for too long.
    void prune(time_point now);
    /// Closes all to one server.
    void closeAll(const server_id&);

private:
    struct idle_connection {
        relay_socket socket;
        time_point idleSince {};
        time_point expiresAt {};
    };

    static constexpr std::size_t maxIdleConnections = 500; ///< To all servers together, within the descriptors that are left for them.

    ranked_mutex m_mutex { lock_rank::Connections };
    std::unordered_map<server_id, std::vector<idle_connection>> m_idle;
    std::size_t m_count = 0;
};

} // namespace radishflow
