// Tests that daemons keep up with a store that came back from a copy and gives out revisions again.
#include "lost_writes.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <csignal>
#include <ostream>
#include <string>
#include <thread>

using namespace radishflow;
using namespace std::chrono_literals;

namespace {

struct restart_case {
    const char* name;
    int daemons;
    int restarted;

    friend std::ostream& operator<<(std::ostream& out, const restart_case& testCase) { return out << testCase.name; }
};

const restart_case restarts[] {
    { "one of two daemons", 2, 1 },
    { "one of six daemons", 6, 1 },
    { "five of six daemons at once", 6, 5 },
};

} // namespace

// The copy is read again, without a change of the era, if the store drops its history.
BOOST_DATA_TEST_CASE(leavingServersStayOutIfTheOldCopyIsReadAgain, boost::unit_test::data::make({ 2, 20 }), daemons)
{
    relay_fleet fleet { { .daemons = daemons, .revocationDelay = revocationDelay } };
    BOOST_REQUIRE(waitUntil(10s, [&] { return static_cast<int>(fleet.lookUp(0).size()) == daemons && static_cast<int>(fleet.lookUp(daemons - 1).size()) == daemons; }));
    fleet.store().takeBackup();
    fleet.list(0, "draining"); // In the zone of the daemons, which prefer it.
    fleet.store().unlist("i-2");
    std::this_thread::sleep_for(1500ms);
    fleet.store().setUnreachable(true);
    std::this_thread::sleep_for(300ms);
    fleet.store().restoreBackup();
    fleet.store().setUnreachable(false);
    std::this_thread::sleep_for(1500ms);
    const int runsBefore = fleet.server(0).runs() + fleet.server(2).runs();
    writeRows(fleet, 1);
    fleet.store().dropHistory();
    const auto droppedAt = std::chrono::steady_clock::now();
    while (std::chrono::steady_clock::now() < droppedAt + 2s) {
        BOOST_TEST(allAnswer(fleet, relay_fleet::key, 200));
        std::this_thread::sleep_for(30ms);
    }
    BOOST_TEST(fleet.server(0).runs() + fleet.server(2).runs() == runsBefore);
}

BOOST_AUTO_TEST_CASE(zoneEvacuatedAfterTheCopyWasMadeStaysOutOfService)
{
    relay_fleet fleet { { .daemons = 2, .revocationDelay = revocationDelay } };
    fleet.store().takeBackup();
    fleet.store().setZoneOutOfService("za", true);
    std::this_thread::sleep_for(1s);
    const int runsBefore = fleet.server(0).runs();
    BOOST_TEST(allAnswer(fleet, relay_fleet::key, 200));
    BOOST_TEST(fleet.server(0).runs() == runsBefore);
    fleet.store().setUnreachable(true);
    std::this_thread::sleep_for(300ms);
    fleet.store().restoreBackup();
    fleet.store().setUnreachable(false);
    const auto returnedAt = std::chrono::steady_clock::now();
    while (std::chrono::steady_clock::now() < returnedAt + 2s) {
        fleet.call(0, "/read/a");
        fleet.call(1, "/read/a");
        std::this_thread::sleep_for(50ms);
    }
    BOOST_TEST(fleet.server(0).runs() == runsBefore);
    fleet.store().setZoneOutOfService("za", true);
    fleet.store().setZoneOutOfService("za", false);
    BOOST_TEST(waitUntil(3s, [&] { return fleet.call(0, "/read/a").status == 200 && fleet.server(0).runs() > runsBefore; }));
}

// Guards against a daemon that takes a copy without the newest changes for the present state because it knows no other.
BOOST_DATA_TEST_CASE(daemonThatStartsWithAnOldCopyAppliesWhatTheOthersKnow, boost::unit_test::data::make(restarts), testCase)
{
    relay_fleet fleet { { .daemons = testCase.daemons, .revocationDelay = revocationDelay } };
    fleet.store().takeBackup();
    fleet.configure(7, "new-key");
    fleet.store().setZoneOutOfService("za", true);
    BOOST_REQUIRE(waitUntil(3s, [&] { return allAnswer(fleet, relay_fleet::key, 401); }));
    std::this_thread::sleep_for(1s);
    const int runsBefore = fleet.server(0).runs();
    fleet.store().setUnreachable(true);
    for (int daemon = 0; daemon < testCase.restarted; ++daemon)
        fleet.daemon(daemon).signal(SIGKILL);
    std::this_thread::sleep_for(300ms);
    fleet.store().restoreBackup();
    fleet.store().setUnreachable(false);
    for (int daemon = 0; daemon < testCase.restarted; ++daemon)
        fleet.restart(daemon);
    const auto restartedAt = std::chrono::steady_clock::now();
    int accepted = 0;
    while (std::chrono::steady_clock::now() < restartedAt + 3s) {
        for (int daemon = 0; daemon < testCase.restarted; ++daemon) {
            accepted += fleet.call(daemon, "/read/a").status == 200 ? 1 : 0; // With the key that was taken away.
            fleet.call(daemon, "/read/a", "GET", "new-key");
        }
        std::this_thread::sleep_for(30ms);
    }
    BOOST_TEST(accepted == 0, accepted << " requests with a key that was taken away were accepted");
    BOOST_TEST(fleet.server(0).runs() == runsBefore, fleet.server(0).runs() - runsBefore << " requests in a zone out of service");
    BOOST_TEST(fleet.call(0, "/read/a", "GET", "new-key").status == 200);
}
