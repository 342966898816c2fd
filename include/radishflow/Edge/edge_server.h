// Declares edge_server, the callers' HTTP interface.
#pragma once

#include "radishflow/Edge/edge_handlers.h"
#include "radishflow/Edge/edge_options.h"

#include <cstdint>
#include <memory>

namespace radishflow {

/// Listens from construction until destruction. Thread-safe. Throws Poco::Exception when it can't bind.
class edge_server {
public:
    edge_server(const edge_options&, edge_handlers);
    ~edge_server();
    edge_server(const edge_server&) = delete;
    edge_server& operator=(const edge_server&) = delete;

    std::uint16_t port() const;

    /// Callers' connections that are open now.
    int connections() const;

    /// Calls that are being answered now.
    int callsInProgress() const;

    /// From now on each answer closes its connection, so that callers move on.
    void beginLeaving();

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace radishflow
