// Declares fleet_membership, which discovers the daemons of a relaying fleet through gossip.
#pragma once

#include "radishflow/Fleet/fleet_options.h"
#include "radishflow/Fleet/table_update.h"
#include "radishflow/Gossip/gossip_transport.h"
#include "radishflow/Routing/fleet_view.h"
#include "radishflow/Support/boottime_clock.h"

#include <atomic>
#include <memory>
#include <string>
#include <vector>

namespace radishflow {

/// Thread-safe except for view(), which only one thread may call.
class fleet_membership {
public:
    /// Throws Poco::RuntimeException if the gossip socket cannot be bound.
    explicit fleet_membership(const fleet_options&);

    /// Sets the addresses ("IP:port") at which to contact other daemons first.
    void seed(const std::vector<std::string>& peers);
    /// Publishes whether callers may be directed to this daemon.
    void publishReadiness(bool acceptsCallers);
    /// Publishes whether this daemon reaches backend servers, with its token for forwarded requests.
    void publishServerAccess(bool reachesServers);
    /// Publishes how many cores the platform allows this daemon.
    void publishProcessorShare(double cores);
    const std::string& forwardingToken() const { return m_forwardingToken; }
    /// Announces that this daemon leaves the fleet; the others stop directing callers to it.
    void leave();
    /// Returns the current fleet, without the daemons that no longer respond.
    std::shared_ptr<const fleet_view> view();
    /// Sets the number of daemons that the platform lists, which include some that have ended.
    void recordListedDaemons(std::size_t count);
    /// Publishes an update of a table; the fleet keeps a newer one if there is one.
    void publishTableUpdate(const std::string& table, const table_update&);
    /// Returns the newest update that has been received from any daemon, or an empty one if there is none.
    table_update tableUpdateOf(const std::string& table) const;
    bool isIsolated() const { return m_gossip->isIsolated(); }

private:
    std::size_t sizeFor(std::size_t aliveCount, time_point now);

    fleet_options m_options;
    std::string m_forwardingToken; ///< New with each process.
    std::unique_ptr<gossip_transport> m_gossip;
    std::atomic<std::size_t> m_listedDaemons = 0; ///< Until the next view(); 0 if no count was recorded since.
    bool m_isSizeKnown = false;
    std::size_t m_largestSize = 1; ///< Largest number of live daemons within the retention time.
    time_point m_largestSizeAt {};
};

} // namespace radishflow
