// Declares fleet_watch, which keeps the directory and the configuration up to date.
#pragma once

#include "radishflow/Config/config_follower.h"
#include "radishflow/Config/config_store.h"
#include "radishflow/Daemon/daemon_options.h"
#include "radishflow/Daemon/ended_processes.h"
#include "radishflow/Daemon/fleet_directory.h"
#include "radishflow/Daemon/ownership_keeper.h"
#include "radishflow/Gossip/gossip_transport.h"
#include "radishflow/Membership/zone_register.h"
#include "radishflow/Peer/peer_client.h"
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
    /// Every reference outlives the watch.
    struct parts {
        const daemon_options& options;
        platform_client& platform;
        gossip_transport& gossip;
        peer_client& peers;
        ownership_keeper& ownership;
        fleet_directory& directory;
        config_store& configuration;
    };

    explicit fleet_watch(const parts&);

    /// Looks at the platform once; keeps what it had where the platform doesn't answer.
    void pollPlatform();

    /// Makes the directory anew from what is known; does no I/O.
    void refresh();

    /// Daemons and servers as ownership is placed over them.
    fleet_view view() const;

    /// Tells the fleet that this daemon takes no new callers.
    void beginLeaving();
    bool isLeaving() const { return m_isLeaving; }

    /// True once callers can be served: a configuration is in force and each service has an owned server.
    bool isReady() const { return m_isReady; }

private:
    void pollHosts();
    void seedGossip(const std::vector<listed_host>&);
    void pollConfiguration();
    void askPeers();
    void announceVersion();
    void announceReadiness(const fleet_snapshot&);
    void pollZones();
    bool hasJoined() const;
    std::vector<listed_host> hosts() const;
    std::vector<known_daemon> daemons(const std::vector<listed_host>&) const;

    parts m_parts;
    config_follower<platform_client, platform_client> m_follower;
    zone_register<gossip_transport> m_zones;
    ended_processes m_ended;
    mutable ranked_mutex m_mutex { lock_rank::HostList };
    std::vector<listed_host> m_hosts;
    time_point m_firstListed; ///< When the host list first named anybody.
    unsigned m_polls = 0; ///< Of the one thread that polls.
    std::atomic<bool> m_isLeaving = false;
    std::atomic<bool> m_isReady = false;
};

} // namespace radishflow
