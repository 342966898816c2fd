// Tests when daemons stop sending requests to servers whose entries were removed, while some or all daemons cannot reach the store.
#include "relay_fleet.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <csignal>
#include <ostream>
#include <thread>

using namespace radishflow;
using namespace std::chrono_literals;
using std::chrono::steady_clock;

namespace {

constexpr int daemons = 6;
constexpr auto maxDrainDelay = 2000ms; // As on the users' deployments, like the next two.
constexpr auto revocationDelay = 5000ms;
constexpr auto renewalTime = 2000ms; ///< Time in which live servers renew their entries after an outage.
constexpr const char* silentLink = R"({"half_open":true})";
constexpr const char* refusingLink = R"({"cut":true})";

struct partition_case {
    const char* name;
    int cutDaemons;
    const char* rules;
    bool isFlapping = false;
    bool isPaused = false; ///< The first daemon is paused when the server is removed.
    bool isRestarted = false; ///< The last daemon restarts after the removal.
    bool isHistoryDropped = false; ///< The store drops its history with the removal.
    bool isRestored = false; ///< The store comes back from a copy before the removal.
};

std::ostream& operator<<(std::ostream& out, const partition_case& testCase) { return out << testCase.name; }

const partition_case partitions[] {
    { "one daemon without a response", 1, silentLink },
    { "a third of the daemons without a response", 2, silentLink },
    { "a third of the daemons refused", 2, refusingLink },
    { "links that flap", 2, refusingLink, true },
    { "a paused daemon", 2, silentLink, false, true },
    { "another daemon restarts", 2, silentLink, false, false, true },
    { .name = "dropped history, one daemon without a response", .cutDaemons = 1, .rules = silentLink, .isHistoryDropped = true },
    { .name = "dropped history, a third of the daemons refused", .cutDaemons = 2, .rules = refusingLink, .isHistoryDropped = true },
    { .name = "a new era, one daemon without a response", .cutDaemons = 1, .rules = silentLink, .isRestored = true },
    { .name = "a new era, a third of the daemons refused", .cutDaemons = 2, .rules = refusingLink, .isRestored = true },
};

const partition_case outages[] {
    { "without a response", daemons, silentLink },
    { "refused", daemons, refusingLink },
};

void setLinks(relay_fleet& fleet, int count, const std::string& rules)
{
    for (int number = 0; number < count; ++number) {
        if (rules.empty())
            fleet.storeLink(number).clear();
        else
            fleet.storeLink(number).set(rules);
    }
}

void waitForFleet(relay_fleet& fleet)
{
    BOOST_REQUIRE(waitUntil(10s, [&] { return fleet.lookUp(0).size() == daemons && fleet.lookUp(daemons - 1).size() == daemons; }));
    fleet.configure(2);
    std::this_thread::sleep_for(3s); // All daemons have read the same revision from the store.
}

// Sends requests to the first daemons until a time; returns how many ran at the first server, which the daemons prefer.
int runsAtFirstServer(relay_fleet& fleet, int count, steady_clock::time_point end)
{
    const int before = fleet.server(0).runs();
    while (steady_clock::now() < end) {
        for (int number = 0; number < count; ++number)
            fleet.call(number, "/public/a");
        std::this_thread::sleep_for(20ms);
    }
    return fleet.server(0).runs() - before;
}

} // namespace

BOOST_DATA_TEST_CASE(daemonsWithoutTheirOwnPathToTheStoreStopUsingServersThatTheFleetSawLeave, boost::unit_test::data::make(partitions), testCase)
{
    relay_fleet fleet { { .daemons = daemons, .isProxied = true, .revocationDelay = revocationDelay } };
    waitForFleet(fleet);
    fleet.store().takeBackup();
    setLinks(fleet, testCase.cutDaemons, testCase.rules);
    std::this_thread::sleep_for(500ms);
    if (testCase.isPaused)
        fleet.daemon(0).signal(SIGSTOP);
    if (testCase.isRestored) {
        fleet.store().restoreBackup();
        std::this_thread::sleep_for(1s); // The daemons with a path have read the copy.
    }
    if (testCase.isHistoryDropped)
        fleet.store().unlistWithoutHistory("i-0");
    else
        fleet.store().unlist("i-0");
    const auto removedAt = steady_clock::now();
    if (testCase.isRestarted) {
        fleet.daemon(daemons - 1).signal(SIGKILL);
        fleet.restart(daemons - 1);
    }
    std::this_thread::sleep_until(removedAt + 1000ms);
    if (testCase.isPaused)
        fleet.daemon(0).signal(SIGCONT);
    std::this_thread::sleep_until(removedAt + maxDrainDelay + (testCase.isPaused ? 1000ms : 0ms));
    int lateRuns = 0;
    for (int change = 0; change < 6; ++change) {
        fleet.configure(3 + change);
        if (testCase.isFlapping)
            setLinks(fleet, testCase.cutDaemons, change % 2 == 0 ? "" : testCase.rules);
        lateRuns += runsAtFirstServer(fleet, testCase.cutDaemons, steady_clock::now() + 1s);
    }
    BOOST_TEST(lateRuns == 0, lateRuns << " requests while the links were cut");
    setLinks(fleet, testCase.cutDaemons, "");
    const int runsAfterReturn = runsAtFirstServer(fleet, testCase.cutDaemons, steady_clock::now() + 3s);
    BOOST_TEST(runsAfterReturn == 0, runsAfterReturn << " requests after the links were back");
}

BOOST_DATA_TEST_CASE(entriesThatLapseWhileNoDaemonReachesTheStoreAreKeptUntilTheyCanBeRenewed, boost::unit_test::data::make(outages), testCase)
{
    relay_fleet fleet { { .daemons = daemons, .isProxied = true, .revocationDelay = revocationDelay } };
    waitForFleet(fleet);
    setLinks(fleet, daemons, testCase.rules);
    std::this_thread::sleep_for(3600ms);
    fleet.store().unlist("i-0");
    fleet.store().unlist("i-1");
    setLinks(fleet, daemons, "");
    const auto returnedAt = steady_clock::now();
    BOOST_TEST(runsAtFirstServer(fleet, daemons, returnedAt + renewalTime / 4) > 0);
    BOOST_TEST(runsAtFirstServer(fleet, daemons, returnedAt + renewalTime / 2) > 0);
    fleet.list(1); // The second server renews its entry; the first one has left.
    const int runsBefore = fleet.server(1).runs();
    std::this_thread::sleep_until(returnedAt + renewalTime + 1500ms);
    BOOST_TEST(runsAtFirstServer(fleet, daemons, steady_clock::now() + 1s) == 0);
    BOOST_TEST(fleet.server(1).runs() > runsBefore);
}
