// Declares radishflow_daemon, one whole daemon without its command line.
#pragma once

#include "radishflow/Daemon/daemon_options.h"
#include "radishflow/Daemon/drain_outcome.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace radishflow {

/// Serves callers and peers from construction until destruction. Throws Poco::Exception or Thrift's
/// exceptions when it can't listen.
class radishflow_daemon {
public:
    explicit radishflow_daemon(const daemon_options&);
    ~radishflow_daemon();
    radishflow_daemon(const radishflow_daemon&) = delete;
    radishflow_daemon& operator=(const radishflow_daemon&) = delete;

    /// Leaves the fleet without cutting a request: tells callers and peers, hands its servers over, and waits
    /// for what is in progress. Returns what was left after the drain limit or once isHurried returns true.
    drain_outcome drain(const std::function<bool()>& isHurried);

    std::uint16_t httpPort() const;
    std::uint16_t peerPort() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace radishflow
