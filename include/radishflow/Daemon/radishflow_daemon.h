// Declares radishflow_daemon, a complete daemon without its command line.
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

    /// Leaves the fleet without interrupting requests: notifies callers and peers, hands over its servers and waits
    /// for work in progress. Returns the remaining work when done, after the drain limit or once isHurried returns
    /// true.
    drain_outcome drain(const std::function<bool()>& isHurried);

    std::uint16_t httpPort() const;
    std::uint16_t peerPort() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace radishflow
