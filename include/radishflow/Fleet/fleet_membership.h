// Declares fleet_membership, the daemons of a relaying fleet as they find each other.
#pragma once

#include "radishflow/Fleet/fleet_options.h"
#include "radishflow/Fleet/table_update.h"
#include "radishflow/Gossip/gossip_transport.h"
#include "radishflow/Routing/fleet_view.h"
#include "radishflow/Support/boottime_clock.h"

#include <memory>
#include <string>
#include <vector>

namespace radishflow {

/// Thread-safe but for view(), which one thread calls.
class fleet_membership {
public:
    /// Throws Poco::RuntimeException when the gossip's socket can't be bound.
    explicit fleet_membership(const fleet_options&);

    /// Names addresses at which other daemons may be found.
    void seed(const std::vector<std::string>& peers);
    /// Tells the others whether callers may be sent here.
    void publishReadiness(bool);
    /// Says goodbye; the others stop naming this daemon to callers.
    void leave();
    /// Returns the fleet as of now.
    std::shared_ptr<const fleet_view> view();
    /// Spreads how far a table was followed; what is known to be newer stays.
    void publishTableUpdate(const std::string& table, const table_update&);
    /// Returns the newest that any daemon told; empty before that.
    table_update tableUpdateOf(const std::string& table) const;
    bool isIsolated() const { return m_gossip->isIsolated(); }

private:
    std::size_t sizeFor(std::size_t alive, time_point now);

    fleet_options m_options;
    std::unique_ptr<gossip_transport> m_gossip;
    std::size_t m_largest = 1;
    time_point m_largestAt {};
};

} // namespace radishflow
