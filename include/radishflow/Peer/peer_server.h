// Declares peer_server, which answers the Thrift calls of other daemons.
#pragma once

#include "radishflow/Peer/peer_handlers.h"

#include <cstdint>
#include <memory>
#include <string>

namespace radishflow {

/// Options of a peer server.
struct peer_server_options {
    std::string host = "127.0.0.1";
    std::uint16_t port = 0; ///< 0 takes a free one.
    int connectionLimit = 1024;
    int messageLimitBytes = 4 << 20;
};

/// Listens from construction until destruction. Thread-safe.
class peer_server {
public:
    peer_server(const peer_server_options&, peer_handlers);
    ~peer_server();
    peer_server(const peer_server&) = delete;
    peer_server& operator=(const peer_server&) = delete;

    std::uint16_t port() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace radishflow
