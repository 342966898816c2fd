// Declares version_monitor, which detects daemons that revert to an older configuration.
#pragma once

#include "relay_fleet.h"

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace radishflow {

/// Polls all daemons for the route that only one version has, for each version, until it is stopped or destroyed.
/// Thread-safe.
class version_monitor {
public:
    explicit version_monitor(relay_fleet&);
    ~version_monitor();
    version_monitor(const version_monitor&) = delete;
    version_monitor& operator=(const version_monitor&) = delete;

    void setNewest(int version) { m_newest = version; }
    void stop();
    /// Returns a line of text for each time that a daemon served an older version after a newer one.
    std::vector<std::string> violations() const;
    /// Returns the newest version that a daemon has served.
    int seen(int daemon) const { return m_seen.at(static_cast<std::size_t>(daemon)); }

private:
    void poll(int daemon);

    relay_fleet& m_fleet;
    std::atomic<int> m_newest = 1;
    std::atomic<bool> m_isStopping = false;
    std::vector<std::atomic<int>> m_seen;
    mutable std::mutex m_mutex;
    std::vector<std::string> m_violations;
    std::thread m_thread;
};

} // namespace radishflow
