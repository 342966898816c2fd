// Implements the selection of the daemons that keep the origin of a stream.
#include "radishflow/Fleet/stream_holders.h"

#include "radishflow/Fleet/store_followers.h"

#include <algorithm>
#include <cstdint>
#include <map>

namespace radishflow {

static constexpr std::size_t maxSmallFleet = 10;
static constexpr std::size_t minHolders = 5;

std::vector<const fleet_daemon*> streamHolders(const fleet_view& fleet, stream_key stream, std::size_t perZone)
{
    std::map<zone_id, std::vector<const fleet_daemon*>> zones;
    for (const fleet_daemon& daemon : fleet.daemons)
        zones[daemon.zone].push_back(&daemon);
    std::vector<const fleet_daemon*> holders;
    for (auto& [zone, daemons] : zones) {
        const auto rank = [&](const fleet_daemon* daemon) { return stableHash(daemon->id.value(), stream.value()); };
        std::sort(daemons.begin(), daemons.end(), [&](const fleet_daemon* left, const fleet_daemon* right) { return rank(left) > rank(right); });
        const std::size_t share = (minHolders + zones.size() - 1) / zones.size();
        const std::size_t count = fleet.daemons.size() <= maxSmallFleet ? daemons.size() : std::min(daemons.size(), share * perZone);
        holders.insert(holders.end(), daemons.begin(), daemons.begin() + static_cast<std::ptrdiff_t>(count));
    }
    std::erase_if(holders, [&](const fleet_daemon* daemon) { return daemon->id == fleet.self; });
    return holders;
}

std::vector<const fleet_daemon*> streamRecorders(const fleet_view& fleet)
{
    auto followers = storeFollowers(fleet);
    if (followers.size() < 2)
        return followers;
    const auto other = std::find_if(followers.begin() + 1, followers.end(), [&](const fleet_daemon* daemon) { return daemon->zone != followers.front()->zone; });
    return { followers.front(), other == followers.end() ? followers[1] : *other };
}

} // namespace radishflow
