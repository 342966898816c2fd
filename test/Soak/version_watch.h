// Declares version_watch, which looks for daemons that go back to an older configuration.
#pragma once

#include "relay_fleet.h"

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace radishflow {

/// Asks all daemons for the route that each version alone has, until it is destroyed or stopped. Thread-safe.
class version_watch {
public:
    explicit version_watch(relay_fleet&);
    ~version_watch();
    version_watch(const version_watch&) = delete;
    version_watch& operator=(const version_watch&) = delete;

    void setNewest(int version) { m_newest = version; }
    void stop();
    /// Returns one line for each time that a daemon served an older version after a newer one.
    std::vector<std::string> broken() const;
    /// Returns the newest version that a daemon was seen to serve.
    int seen(int daemon) const { return m_seen.at(static_cast<std::size_t>(daemon)); }

private:
    void look(int daemon);

    relay_fleet& m_fleet;
    std::atomic<int> m_newest = 1;
    std::atomic<bool> m_isStopping = false;
    std::vector<std::atomic<int>> m_seen;
    mutable std::mutex m_mutex;
    std::vector<std::string> m_broken;
    std::thread m_thread;
};

} // namespace radishflow
