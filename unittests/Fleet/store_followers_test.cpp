// Tests which daemons follow the platform's store, and from which of them the others fetch changes.
#include "radishflow/Fleet/store_followers.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <ostream>
#include <set>

using namespace radishflow;

namespace {

struct fleet_case {
    int daemons;
    int zones;
    std::size_t minFollowers;
    std::size_t maxFollowers;

    friend std::ostream& operator<<(std::ostream& out, const fleet_case& test) { return out << test.daemons << " daemons in " << test.zones << " zones"; }
};

// Daemons are numbered from 0; daemon n is in zone n % zones.
fleet_view fleetOf(int daemons, int zones, int self = 0)
{
    fleet_view fleet { .self = daemon_id { "d" + std::to_string(self) }, .size = static_cast<std::size_t>(daemons) };
    for (int number = 0; number < daemons; ++number) {
        const std::string name = std::to_string(number);
        fleet.daemons.push_back({ .id = daemon_id { "d" + name }, .zone = zone_id { "z" + std::to_string(number % zones) }, .callerAddress = "10.0.0." + name + ":80" });
    }
    return fleet;
}

std::set<std::string> namesOf(const std::vector<const fleet_daemon*>& daemons)
{
    std::set<std::string> names;
    for (const fleet_daemon* daemon : daemons)
        names.insert(daemon->id.value());
    return names;
}

// The number of followers must not grow with the fleet, and a small fleet must follow as a whole.
const fleet_case fleetCases[] {
    { 1, 1, 1, 1 },
    { 7, 4, 7, 7 },
    { 8, 3, 8, 8 },
    { 60, 3, 8, 12 },
    { 195, 6, 12, 12 },
    { 1000, 9, 18, 18 },
};

} // namespace

BOOST_DATA_TEST_CASE(followersAreFewAndSpreadOverZones, boost::unit_test::data::make(fleetCases), test)
{
    const fleet_view fleet = fleetOf(test.daemons, test.zones);
    const auto followers = storeFollowers(fleet);
    BOOST_TEST(followers.size() >= test.minFollowers);
    BOOST_TEST(followers.size() <= test.maxFollowers);
    BOOST_TEST(namesOf(followers).size() == followers.size());
    std::map<zone_id, int> byZone;
    for (const fleet_daemon* follower : followers)
        ++byZone[follower->zone];
    for (const auto& [zone, count] : byZone)
        BOOST_TEST(count >= std::min(2, test.daemons / test.zones));
    int following = 0;
    for (int self = 0; self < test.daemons; ++self)
        following += isStoreFollower(fleetOf(test.daemons, test.zones, self)) ? 1 : 0;
    BOOST_TEST(static_cast<std::size_t>(following) == followers.size());
}

// While views differ, such as just after the loss of a daemon, most followers must stay the same.
BOOST_AUTO_TEST_CASE(lossOfADaemonReplacesAtMostOneFollower)
{
    const fleet_view fleet = fleetOf(195, 6);
    const auto before = namesOf(storeFollowers(fleet));
    for (std::size_t lost = 0; lost < fleet.daemons.size(); ++lost) {
        fleet_view rest = fleet;
        rest.daemons.erase(rest.daemons.begin() + static_cast<std::ptrdiff_t>(lost));
        const auto after = namesOf(storeFollowers(rest));
        std::vector<std::string> kept;
        std::set_intersection(before.begin(), before.end(), after.begin(), after.end(), std::back_inserter(kept));
        BOOST_TEST(kept.size() + 1 >= before.size());
        BOOST_TEST(after.size() == before.size());
    }
}

BOOST_AUTO_TEST_CASE(changesAreFetchedFromTheOwnZoneFirstAndThenFromOthers)
{
    const fleet_view fleet = fleetOf(195, 6, 100);
    const auto followers = storeFollowers(fleet);
    const auto zoneOf = [&](const std::string& address) {
        const auto found = std::find_if(followers.begin(), followers.end(), [&](const fleet_daemon* daemon) { return daemon->callerAddress == address; });
        return found == followers.end() ? std::string {} : (*found)->zone.value();
    };
    std::set<std::string> selected;
    for (std::uint64_t attempt = 0; attempt < 60; ++attempt) {
        const std::string address = selectStoreFollower(fleet, zone_id { "z4" }, attempt);
        BOOST_TEST(zoneOf(address) != "");
        if (attempt % 2 == 0)
            BOOST_TEST(zoneOf(address) == "z4");
        selected.insert(address);
    }
    BOOST_TEST(selected.size() == followers.size());
    BOOST_TEST(selectStoreFollower(fleetOf(1, 1), zone_id { "z0" }, 0).empty());
}
