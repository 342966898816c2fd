// Declares fleet_watch, which keeps the directory and the configuration up to date.
#pragma once

#include "radishflow/Config/config_follower.h"
#include "radishflow/Config/config_store.h"
#include "radishflow/Daemon/daemon_options.h"
#include "radishflow/Daemon/fleet_directory.h"
#include "radishflow/Daemon/ownership_keeper.h"
#include "radishflow/Gossip/gossip_transport.h"
#include "radishflow/Membership/zone_register.h"
#include "radishflow/Platform/platform_client.h"
#include "radishflow/Support/monotonic_clock.h"
#include "radishflow/Support/ranked_mutex.h"

#include <atomic>
#include <vector>

namespace radishflow {

/// Brings together the platform's host list, the gossip and the ownership. Thread-safe; rank HostList
/// (the host list), which is not held while waiting for the platform.
class fleet_watch {
public:
    fleet_watch(const daemon_options&, platform_client&, gossip_transport&, ownership_keeper&, fleet_directory&, config_store&);

    /// Looks at the platform once; keeps what it had where the platform doesn't answer.
    void pollPlatform();

    /// Makes the directory anew from what is known; does no I/O.
    void refresh();

    /// Daemons and servers as ownership is placed over them.
    fleet_view view() const;

    /// Tells the fleet that this daemon takes no new callers.
    void beginLeaving();
    bool isLeaving() const { return m_isLeaving; }

private:
    void pollHosts();
    void pollConfiguration();
    void pollZones();
    bool hasJoined() const;
    std::vector<listed_host> hosts() const;
    std::vector<known_daemon> daemons(const std::vector<listed_host>&) const;

    const daemon_options& m_options;
    platform_client& m_platform;
    gossip_transport& m_gossip;
    ownership_keeper& m_ownership;
    fleet_directory& m_directory;
    config_follower<platform_client, platform_client> m_follower;
    zone_register<gossip_transport> m_zones;
    mutable ranked_mutex m_mutex { lock_rank::HostList };
    std::vector<listed_host> m_hosts;
    time_point m_firstListed; ///< When the host list first named anybody.
    std::atomic<bool> m_isLeaving = false;
};

} // namespace radishflow
