// Declares region_watch, which regions this daemon hears from.
#pragma once

#include "radishflow/Support/ids.h"
#include "radishflow/Support/monotonic_clock.h"

#include <map>

namespace radishflow {

/// Not thread-safe.
class region_watch {
public:
    /// Starts the watch of a region that became known.
    void addRegion(const region_id& region, time_point now) { m_heardAt.try_emplace(region, now); }
    void hear(const region_id& region, time_point now) { m_heardAt[region] = now; }

    bool isReachable(const region_id& region, time_point now, duration timeout) const
    {
        const auto place = m_heardAt.find(region);
        return place != m_heardAt.end() && now - place->second <= timeout;
    }

    /// Starts all watches anew after a pause of this process.
    void restart(time_point now)
    {
        for (auto& [region, heardAt] : m_heardAt)
            heardAt = now;
    }

private:
    std::map<region_id, time_point> m_heardAt;
};

} // namespace radishflow
