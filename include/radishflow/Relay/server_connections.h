// Declares server_connections, the idle connections to backend servers.
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
class server_connections {
public:
    /// Returns the connection that was used last, if it has been idle for less than the age and is still clean.
    std::optional<relay_socket> take(const server_id&, time_point now, duration mostIdle);
    /// Keeps a connection until the server is expected to close it, unless so many to it are kept already.
    void put(const server_id&, relay_socket, time_point now, duration lifetime, std::size_t mostToServer);
    /// Closes those that have been idle for too long.
    void prune(time_point now);
    /// Closes all to one server.
    void drop(const server_id&);

private:
    struct idle_connection {
        relay_socket socket;
        time_point since {};
        time_point until {};
    };

    static constexpr std::size_t mostKept = 500; ///< To all servers together, within the descriptors that are left for them.

    ranked_mutex m_mutex { lock_rank::Connections };
    std::unordered_map<server_id, std::vector<idle_connection>> m_idle;
    std::size_t m_count = 0;
};

} // namespace radishflow
