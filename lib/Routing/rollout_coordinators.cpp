// Implements the selection of the daemons that coordinate a roll-out.
#include "radishflow/Routing/rollout_coordinators.h"

#include "radishflow/Support/hashing.h"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace radishflow {

// A zone that fails or is cut off must not take all coordinators with it, so each zone's first daemon goes before the others.
std::vector<const fleet_daemon*> rolloutCoordinators(const fleet_view& fleet, const service_id& service)
{
    std::vector<std::pair<std::uint64_t, const fleet_daemon*>> ranked;
    ranked.reserve(fleet.daemons.size());
    for (const fleet_daemon& daemon : fleet.daemons)
        ranked.emplace_back(stableHash(service.value(), daemon.id.value()), &daemon);
    std::sort(ranked.begin(), ranked.end(), [](const auto& left, const auto& right) { return left.first > right.first; });
    std::vector<const fleet_daemon*> coordinators;
    for (const bool isFirstOfZone : { true, false }) {
        for (const auto& entry : ranked) {
            const fleet_daemon* daemon = entry.second;
            const bool isZoneCovered = std::any_of(coordinators.begin(), coordinators.end(), [&](const fleet_daemon* coordinator) { return coordinator->zone == daemon->zone; });
            const bool isChosen = std::find(coordinators.begin(), coordinators.end(), daemon) != coordinators.end();
            if (coordinators.size() < rolloutCoordinatorCount && !isChosen && isZoneCovered != isFirstOfZone)
                coordinators.push_back(daemon);
        }
    }
    return coordinators;
}

} // namespace radishflow
