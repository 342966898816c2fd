// Declares region_reachability, which tracks when this daemon last received a datagram from each region.
#pragma once

#include "radishflow/Support/ids.h"
#include "radishflow/Support/monotonic_clock.h"

#include <map>

namespace radishflow {

/// Not thread-safe.
class region_reachability {
public:
    /// Starts tracking a region, unless it is tracked already.
    void addRegion(const region_id& region, time_point now) { m_lastReceivedAt.try_emplace(region, now); }
    /// Records that a datagram arrived from a region.
    void recordReceipt(const region_id& region, time_point now) { m_lastReceivedAt[region] = now; }

    /// Returns whether a datagram arrived from the region within `timeout`, or its tracking began within it.
    bool isReachable(const region_id& region, time_point now, duration timeout) const
    {
        const auto place = m_lastReceivedAt.find(region);
        return place != m_lastReceivedAt.end() && now - place->second <= timeout;
    }

    /// Restarts the timeouts of all regions, after a pause of this process.
    void restart(time_point now)
    {
        for (auto& [region, receivedAt] : m_lastReceivedAt)
            receivedAt = now;
    }

private:
    std::map<region_id, time_point> m_lastReceivedAt;
};

} // namespace radishflow
