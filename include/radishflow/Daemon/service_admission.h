// Declares service_admission, the load bound and the workspace limits of one service at one owner.
#pragma once

#include "radishflow/Admission/load_bound.h"
#include "radishflow/Admission/workspace_limiter.h"
#include "radishflow/Config/fleet_config.h"
#include "radishflow/Support/boottime_clock.h"

#include <deque>
#include <optional>
#include <utility>

namespace radishflow {

/// Running requests and servers of a service in the fleet, as summed by the gossip.
struct fleet_load {
    int running = 0;
    int servers = 0;
    time_point measuredAt {};
};

/// Not thread-safe.
class service_admission {
public:
    service_admission(const boottime_clock& clock, daemon_id self)
        : m_clock(clock)
        , m_self(std::move(self))
    {
    }

    /// Applies a configuration; must be called before any other function.
    void configure(const service_settings&, const fleet_config&, config_version);
    config_version configuredVersion() const { return m_version; }

    /// Sets this owner's load and the known load of the fleet.
    void setLoads(int ownRunning, int ownServers, int listedServers, const fleet_load&);

    /// Returns whether a server may run one more request. Running counts that other servers reported when they
    /// refused the same request are used where they exceed the load known to this owner.
    bool isWithinBound(int runningAtServer, int witnessedRunning) const;
    int currentBound() const { return m_bound->allowed(); }
    workspace_limiter& workspaces() { return m_workspaces; }

private:
    int maxRecentOwnLoad(int ownRunning);

    struct own_load_sample {
        time_point at;
        int running = 0;
    };

    const boottime_clock& m_clock;
    daemon_id m_self;
    std::optional<load_bound<boottime_clock>> m_bound;
    workspace_limiter m_workspaces;
    config_version m_version;
    std::deque<own_load_sample> m_ownLoadSamples;
    std::uint64_t m_sequence = 0;
    double m_multiple = 1;
    int m_listedServers = 1;
};

} // namespace radishflow
