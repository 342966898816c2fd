// Tests that daemons which do not follow the store themselves learn of its changes from followers, and without them from the
// store, in real processes.
#include "radishflow/Fleet/store_followers.h"

#include "relay_fleet.h"

#include <boost/test/unit_test.hpp>

#include <csignal>
#include <set>
#include <thread>

using namespace radishflow;
using namespace std::chrono_literals;

namespace {

constexpr int daemons = 20;
constexpr int changes = 4;
constexpr auto changeInterval = 1500ms;
constexpr auto revocationDelay = 5000ms; // As on the users' deployments.

bool allRespond(relay_fleet& fleet, const std::set<int>& asked, const std::string& key, int status)
{
    return std::all_of(asked.begin(), asked.end(), [&](int daemon) { return fleet.call(daemon, "/read/a", "GET", key).status == status; });
}

// The ids of a relay_fleet's daemons are "d<number>", all in one zone.
std::set<int> followersOf(int count)
{
    fleet_view view;
    for (int number = 0; number < count; ++number)
        view.daemons.push_back({ .id = daemon_id { "d" + std::to_string(number) }, .zone = zone_id { "za" } });
    std::set<int> numbers;
    for (const fleet_daemon* daemon : storeFollowers(view))
        numbers.insert(std::stoi(daemon->id.value().substr(1)));
    return numbers;
}

int callsDuring(relay_fleet& fleet, std::chrono::milliseconds time)
{
    const int before = fleet.store().calls();
    std::this_thread::sleep_for(time);
    return fleet.store().calls() - before;
}

std::set<int> allDaemons()
{
    std::set<int> numbers;
    for (int number = 0; number < daemons; ++number)
        numbers.insert(number);
    return numbers;
}

} // namespace

BOOST_AUTO_TEST_CASE(changesReachAllDaemonsThroughFollowers)
{
    relay_fleet fleet { { .daemons = daemons, .revocationDelay = revocationDelay } };
    BOOST_REQUIRE(waitUntil(10s, [&] { return fleet.lookUp(0).size() == daemons && fleet.lookUp(daemons - 1).size() == daemons; }));
    // Polls that were sent before the daemons knew the whole fleet end, and the first change brings all copies to one revision:
    // a follower lacks the changes from before its own start.
    fleet.configure(2);
    std::this_thread::sleep_for(4s);
    int calls = 0;
    for (int change = 0; change < changes; ++change) {
        fleet.configure(3 + change, change + 1 == changes ? "new-key" : relay_fleet::key);
        calls += callsDuring(fleet, changeInterval);
    }
    BOOST_TEST(allRespond(fleet, allDaemons(), relay_fleet::key, 401));
    BOOST_TEST(allRespond(fleet, allDaemons(), "new-key", 200));
    BOOST_TEST_MESSAGE("calls to the store with " << changes << " changes: " << calls);
    // The changes alone would cost this many calls if all daemons followed the store.
    BOOST_TEST(calls < changes * daemons);

    std::set<int> rest = allDaemons();
    for (const int follower : followersOf(daemons)) {
        fleet.daemon(follower).signal(SIGKILL);
        rest.erase(follower);
    }
    fleet.configure(3 + changes, "third-key");
    BOOST_TEST(waitUntil(revocationDelay, [&] { return allRespond(fleet, rest, "new-key", 401); }));
    BOOST_TEST(allRespond(fleet, rest, "third-key", 200));
}

// Whole tables carry no removals, so a follower that had to read the whole table must make the other daemons read it as well.
BOOST_AUTO_TEST_CASE(removalsInDroppedHistoryReachDaemonsThatDoNotFollow)
{
    constexpr auto maxDrainDelay = 2000ms;
    relay_fleet fleet { { .daemons = daemons, .revocationDelay = revocationDelay } };
    BOOST_REQUIRE(waitUntil(10s, [&] { return fleet.lookUp(0).size() == daemons && fleet.lookUp(daemons - 1).size() == daemons; }));
    fleet.configure(2);
    std::this_thread::sleep_for(4s);
    fleet.store().unlistWithoutHistory("i-0"); // The server of the daemons' own zone, which they prefer.
    std::this_thread::sleep_for(maxDrainDelay);
    const int runsBefore = fleet.server(0).runs();
    for (int round = 0; round < 6; ++round)
        BOOST_TEST(allRespond(fleet, allDaemons(), relay_fleet::key, 200));
    BOOST_TEST(fleet.server(0).runs() == runsBefore);
}
