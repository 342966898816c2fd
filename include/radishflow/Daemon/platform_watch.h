// Declares platform_watch, which keeps the directory and the configuration up to date.
#pragma once

#include "radishflow/Config/config_follower.h"
#include "radishflow/Config/config_store.h"
#include "radishflow/Daemon/daemon_options.h"
#include "radishflow/Daemon/fleet_directory.h"
#include "radishflow/Platform/platform_client.h"

#include <vector>

namespace radishflow {

/// Polls the platform. Used by one thread; what it fills is thread-safe.
class platform_watch {
public:
    platform_watch(const daemon_options&, platform_client&, fleet_directory&, config_store&);

    /// Looks at the platform once; keeps what it had where the platform doesn't answer.
    void poll();

private:
    void pollHosts();
    void pollConfiguration();

    const daemon_options& m_options;
    platform_client& m_platform;
    fleet_directory& m_directory;
    config_follower<platform_client, platform_client> m_follower;
    std::vector<listed_host> m_hosts;
};

} // namespace radishflow
