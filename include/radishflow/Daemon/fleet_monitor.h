// Declares fleet_monitor, which keeps the directory and the configuration up to date.
#pragma once

#include "radishflow/Config/config_follower.h"
#include "radishflow/Config/config_store.h"
#include "radishflow/Daemon/daemon_options.h"
#include "radishflow/Daemon/ended_processes.h"
#include "radishflow/Daemon/fleet_directory.h"
#include "radishflow/Daemon/shared_ownership.h"
#include "radishflow/Gossip/gossip_transport.h"
#include "radishflow/Membership/zone_register.h"
#include "radishflow/Peer/peer_client.h"
#include "radishflow/Platform/platform_client.h"
#include "radishflow/Support/monotonic_clock.h"
#include "radishflow/Support/ranked_mutex.h"

#include <atomic>
#include <vector>

namespace radishflow {

/// Combines the platform's host list, the gossip and the ownership. Thread-safe; rank HostList, which is not held
/// while waiting for the platform.
class fleet_monitor {
public:
    /// Every reference must outlive the monitor.
    struct dependencies {
        const daemon_options& options;
        platform_client& platform;
        gossip_transport& gossip;
        peer_client& peers;
        shared_ownership& ownership;
        fleet_directory& directory;
        config_store& configuration;
    };

    explicit fleet_monitor(const dependencies&);

    /// Polls the platform once; keeps the previous data when the platform does not respond.
    void pollPlatform();

    /// Rebuilds the directory from the current data; does no I/O.
    void refresh();

    /// Returns the daemons and servers among which ownership is distributed.
    fleet_view view() const;

    /// Publishes to the fleet that this daemon accepts no new callers.
    void beginLeaving();
    bool isLeaving() const { return m_isLeaving; }

    /// True once callers can be served: a configuration is in force and each service has an available server with an owner.
    bool isReady() const { return m_isReady; }

private:
    void pollHosts();
    void seedGossip(const std::vector<listed_host>&);
    void pollConfiguration();
    void fetchConfigurationFromPeers();
    void publishVersion();
    void publishReadiness(const fleet_snapshot&);
    void pollZones();
    bool hasJoined() const;
    std::vector<listed_host> hosts() const;
    std::vector<known_daemon> daemons(const std::vector<listed_host>&) const;

    dependencies m_dependencies;
    config_follower<platform_client, platform_client> m_follower;
    zone_register<gossip_transport> m_zones;
    ended_processes m_ended;
    mutable ranked_mutex m_mutex { lock_rank::HostList };
    std::vector<listed_host> m_hosts;
    time_point m_firstListedAt; ///< Time of the first non-empty host list.
    unsigned m_polls = 0; ///< Number of polls; used only by the polling thread.
    std::atomic<bool> m_isLeaving = false;
    std::atomic<bool> m_isReady = false;
};

} // namespace radishflow
