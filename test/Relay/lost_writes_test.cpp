// Tests that changes after the return of a store that lost writes reach all daemons.
#include "lost_writes.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <string>
#include <thread>

using namespace radishflow;
using namespace std::chrono_literals;

namespace {

constexpr int lostWrites = 10;
constexpr int laterWrites = 30; // More than were lost, so that the revisions pass those that the daemons have read.

} // namespace

BOOST_DATA_TEST_CASE(changesAfterLostWritesReachAllDaemons, boost::unit_test::data::make({ 2, 20 }), daemons)
{
    relay_fleet fleet { { .daemons = daemons, .revocationDelay = revocationDelay } };
    BOOST_REQUIRE(waitUntil(10s, [&] { return static_cast<int>(fleet.lookUp(0).size()) == daemons && static_cast<int>(fleet.lookUp(daemons - 1).size()) == daemons; }));
    fleet.configure(2);
    std::this_thread::sleep_for(3s);
    fleet.store().takeBackup();
    fleet.list(1, "draining");
    writeRows(fleet, lostWrites);
    std::this_thread::sleep_for(1500ms);
    const int runsBefore = fleet.server(1).runs();
    fleet.store().setUnreachable(true);
    std::this_thread::sleep_for(300ms);
    fleet.store().restoreBackup();
    fleet.configure(7, "new-key");
    fleet.store().unlist("i-0");
    writeRows(fleet, laterWrites);
    fleet.store().setUnreachable(false);
    BOOST_TEST(waitUntil(revocationDelay, [&] { return allAnswer(fleet, relay_fleet::key, 401); }));
    BOOST_TEST(allAnswer(fleet, "new-key", 200));
    std::this_thread::sleep_for(2500ms); // Removals wait for entries that lapsed during the outage.
    const int runsAtRemoved = fleet.server(0).runs();
    BOOST_TEST(allAnswer(fleet, "new-key", 200));
    BOOST_TEST(fleet.server(0).runs() == runsAtRemoved);
    BOOST_TEST(fleet.server(1).runs() == runsBefore); // It leaves, although the copy lists it as ready.
    for (int daemon = 0; daemon < daemons; ++daemon)
        BOOST_TEST(waitUntil(3s, [&] { return fleet.store().isAnnounced("d" + std::to_string(daemon)); }));
    // Changes after the return arrive as usual.
    fleet.configure(8, "newest-key");
    BOOST_TEST(waitUntil(2s, [&] { return allAnswer(fleet, "newest-key", 200); }));
}
