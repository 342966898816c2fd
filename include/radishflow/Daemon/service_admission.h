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

/// What the rest of the fleet runs of a service, as the gossip sums it.
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

    /// Takes over the settings of a configuration; needed once before anything else.
    void configure(const service_settings&, const fleet_config&, config_version);
    config_version configuredWith() const { return m_version; }

    /// Sets this owner's load and what is known of the fleet's.
    void setLoads(int ownRunning, int ownServers, int listedServers, const fleet_load&);

    /// Whether a server may take one more. What the entry has just been told by other servers of the service
    /// that refused the same request counts where it is more than this owner knows.
    bool isWithinBound(int runningAtServer, int witnessedRunning) const;
    int boundNow() const { return m_bound->allowed(); }
    workspace_limiter& workspaces() { return m_workspaces; }

private:
    int highestOwnLately(int ownRunning);

    struct own_reading {
        time_point at;
        int running = 0;
    };

    const boottime_clock& m_clock;
    daemon_id m_self;
    std::optional<load_bound<boottime_clock>> m_bound;
    workspace_limiter m_workspaces;
    config_version m_version;
    std::deque<own_reading> m_ownReadings;
    std::uint64_t m_sequence = 0;
    double m_multiple = 1;
    int m_listedServers = 1;
};

} // namespace radishflow
