// Declares relay_daemon, a daemon of a relaying fleet on the users' platform.
#pragma once

#include "relay_daemon_options.h"

#include <memory>

namespace radishflow {

/// Serves callers from construction until destruction.
class relay_daemon {
public:
    explicit relay_daemon(const relay_daemon_options&);
    ~relay_daemon();
    relay_daemon(const relay_daemon&) = delete;
    relay_daemon& operator=(const relay_daemon&) = delete;

    /// Leaves the fleet and serves the remaining callers. Blocks until shortly before the end of the grace period.
    void drain();

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace radishflow
