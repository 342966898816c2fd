// Implements the selection of the daemons that follow the platform's store for the whole fleet.
#include "radishflow/Fleet/store_followers.h"

#include "radishflow/Support/hashing.h"

#include <algorithm>
#include <map>

namespace radishflow {

static constexpr std::size_t minFollowersPerZone = 2;
static constexpr std::uint64_t rankSeed = 0x73746f7265; // Distinguishes this ranking from others of the same ids.

static std::uint64_t rankOf(const fleet_daemon& daemon)
{
    return stableHash(daemon.id.value(), rankSeed);
}

// Spread over the zones, so that the loss of a zone, or a partition between zones, leaves followers on either side.
std::vector<const fleet_daemon*> storeFollowers(const fleet_view& fleet)
{
    std::map<zone_id, std::vector<const fleet_daemon*>> zones;
    for (const fleet_daemon& daemon : fleet.daemons)
        zones[daemon.zone].push_back(&daemon);
    const std::size_t share = zones.empty() ? 0 : (minStoreFollowers + zones.size() - 1) / zones.size();
    std::vector<const fleet_daemon*> followers;
    std::vector<const fleet_daemon*> others;
    for (auto& [zone, daemons] : zones) {
        std::sort(daemons.begin(), daemons.end(), [](const fleet_daemon* left, const fleet_daemon* right) { return rankOf(*left) > rankOf(*right); });
        const std::size_t count = std::min(daemons.size(), std::max(minFollowersPerZone, share));
        followers.insert(followers.end(), daemons.begin(), daemons.begin() + static_cast<std::ptrdiff_t>(count));
        others.insert(others.end(), daemons.begin() + static_cast<std::ptrdiff_t>(count), daemons.end());
    }
    // A zone with few daemons leaves followers to the other zones.
    std::sort(others.begin(), others.end(), [](const fleet_daemon* left, const fleet_daemon* right) { return rankOf(*left) > rankOf(*right); });
    for (auto next = others.begin(); next != others.end() && followers.size() < minStoreFollowers; ++next)
        followers.push_back(*next);
    return followers;
}

bool isStoreFollower(const fleet_view& fleet)
{
    const auto followers = storeFollowers(fleet);
    return std::any_of(followers.begin(), followers.end(), [&](const fleet_daemon* daemon) { return daemon->id == fleet.self; });
}

std::string selectStoreFollower(const fleet_view& fleet, const zone_id& ownZone, std::uint64_t attempt)
{
    std::vector<const fleet_daemon*> followers = storeFollowers(fleet);
    std::erase_if(followers, [&](const fleet_daemon* daemon) { return daemon->id == fleet.self; });
    const auto isLocal = [&](const fleet_daemon* daemon) { return daemon->zone == ownZone; };
    // Every other attempt may leave the zone, since all of its followers may have failed together.
    if (attempt % 2 == 0 && std::any_of(followers.begin(), followers.end(), isLocal))
        std::erase_if(followers, [&](const fleet_daemon* daemon) { return !isLocal(daemon); });
    if (followers.empty())
        return {};
    return followers[(stableHash(fleet.self.value(), rankSeed) + attempt / 2) % followers.size()]->callerAddress;
}

} // namespace radishflow
