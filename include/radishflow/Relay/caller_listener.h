// Declares caller_listener, which accepts connections and hands them to worker threads when a request arrives.
#pragma once

#include "radishflow/Relay/relay_socket.h"
#include "radishflow/Relay/session_result.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace radishflow {

/// Serves the requests received on one connection. Runs on a worker thread and must not throw.
using session_handler = std::function<session_result(relay_socket&)>;

struct listen_endpoint {
    std::string address; ///< "IP:port"
    session_handler serve;
    std::string overloadResponse; ///< Response sent when all workers are busy; if empty, that of the options.
};

struct caller_listener_options {
    int workers = 400; ///< Number of connections served concurrently.
    std::size_t maxConnections = 3500; ///< Limit on open connections, including idle ones; connections beyond it are closed immediately.
    std::function<std::chrono::milliseconds()> idleTimeout; ///< Returns the time after which an idle connection is closed.
    std::string overloadResponse; ///< Response sent when all workers are busy.
};

/// Accepts connections on its endpoints and serves them on a pool of workers. Idle connections wait in one poll set and
/// occupy no thread. Thread-safe. The constructor throws Poco::Exception if an address cannot be bound.
class caller_listener {
public:
    caller_listener(std::vector<listen_endpoint>, caller_listener_options);
    ~caller_listener();
    caller_listener(const caller_listener&) = delete;
    caller_listener& operator=(const caller_listener&) = delete;

    /// Returns the number of connections being served by a worker.
    int activeConnections() const;
    /// Returns the number of open connections, including idle ones.
    int connections() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace radishflow
