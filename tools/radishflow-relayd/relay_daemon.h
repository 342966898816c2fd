// Declares relay_daemon, one daemon of a relaying fleet on the users' platform.
#pragma once

#include "relay_daemon_options.h"

#include <memory>

namespace radishflow {

/// Serves from construction until destruction.
class relay_daemon {
public:
    explicit relay_daemon(const relay_daemon_options&);
    ~relay_daemon();
    relay_daemon(const relay_daemon&) = delete;
    relay_daemon& operator=(const relay_daemon&) = delete;

    /// Leaves the fleet and serves what still comes until shortly before the end of the grace.
    void drain();

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace radishflow
