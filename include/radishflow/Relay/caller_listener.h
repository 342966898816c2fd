// Declares caller_listener, which accepts connections and watches idle ones.
#pragma once

#include "radishflow/Relay/relay_socket.h"
#include "radishflow/Relay/session_result.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace radishflow {

/// Serves what one connection has sent; runs on a worker and must not throw.
using session_handler = std::function<session_result(relay_socket&)>;

struct listen_endpoint {
    std::string address; ///< "IP:port"
    session_handler serve;
};

struct caller_listener_options {
    int workers = 400; ///< Connections that are served at the same time.
    std::size_t maxConnections = 3500; ///< Open ones, idle included; further ones are closed at once.
    std::function<std::chrono::milliseconds()> idleTimeout;
    std::string overloadResponse; ///< Sent where no worker is free.
};

/// Idle connections wait in one poll set and hold no thread. Thread-safe. Throws Poco::Exception when it can't bind.
class caller_listener {
public:
    caller_listener(std::vector<listen_endpoint>, caller_listener_options);
    ~caller_listener();
    caller_listener(const caller_listener&) = delete;
    caller_listener& operator=(const caller_listener&) = delete;

    /// Connections whose requests are being served now.
    int activeConnections() const;
    int connections() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace radishflow
