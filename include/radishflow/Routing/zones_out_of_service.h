// Declares zones_out_of_service, which keeps the availability zones that the operator has taken out of service.
#pragma once

#include "radishflow/Support/ids.h"
#include "radishflow/Support/monotonic_clock.h"

#include <chrono>
#include <map>
#include <set>
#include <utility>

namespace radishflow {

struct zones_out_of_service_options {
    duration rewriteTime = std::chrono::seconds { 5 }; ///< Time in which the operator writes again what an old copy of the table lacks.
};

/// Applies the operator's table of zones. An old copy, from which the platform has recovered, lacks zones that were taken out of
/// service since; these stay out until they are written again or the rewrite time has passed. Not thread-safe.
template <monotonic_clock Clock>
class zones_out_of_service {
public:
    explicit zones_out_of_service(const Clock& clock, const zones_out_of_service_options& options = {})
        : m_clock(clock)
        , m_options(options)
    {
    }

    void set(const zone_id& zone, bool isOut)
    {
        m_missing.erase(zone);
        if (isOut)
            m_listed.insert(zone);
        else
            m_listed.erase(zone);
    }

    void replaceAll(std::set<zone_id> zones, bool isOldCopy)
    {
        if (isOldCopy) {
            for (const zone_id& zone : m_listed)
                m_missing.try_emplace(zone, m_clock.now() + m_options.rewriteTime);
        }
        for (const zone_id& zone : zones)
            m_missing.erase(zone);
        m_listed = std::move(zones);
    }

    /// Keeps a zone out of service that another daemon keeps out, unless the table lists it, until the rewrite time has passed.
    void keepOut(const zone_id& zone)
    {
        if (!m_listed.contains(zone))
            m_missing.try_emplace(zone, m_clock.now() + m_options.rewriteTime);
    }

    /// While hasPendingChanges() is true, the result can change by the passage of time alone.
    std::set<zone_id> zones()
    {
        std::erase_if(m_missing, [&](const auto& entry) { return entry.second <= m_clock.now(); });
        std::set<zone_id> all = m_listed;
        for (const auto& [zone, until] : m_missing)
            all.insert(zone);
        return all;
    }

    bool hasPendingChanges() const { return !m_missing.empty(); }

private:
    const Clock& m_clock;
    zones_out_of_service_options m_options;
    std::set<zone_id> m_listed;
    std::map<zone_id, time_point> m_missing; ///< Zones that an old copy lacks, and until when they stay out of service.
};

} // namespace radishflow
