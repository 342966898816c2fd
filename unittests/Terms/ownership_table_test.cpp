// Tests how ownership changes: claims, lapsed terms, table outages, lost replies, releases and handovers by rank.
#include "test_fleet.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace radishflow;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_CASE(singleDaemonClaimsServerAndUsesWholeLimit)
{
    test_fleet fleet { 3 };
    fleet.run(10s);
    test_daemon* owner = fleet.owner();
    BOOST_REQUIRE(owner);
    for (const test_daemon& daemon : fleet.daemons)
        BOOST_TEST((daemon.owners.ownerOf(fleet.server) == owner->id));
    BOOST_TEST(fleet.fill(*owner) == 12);
    BOOST_TEST((fleet.lastReason == refusal_reason::AtLimit));
}

BOOST_AUTO_TEST_CASE(windowIsBounded)
{
    test_fleet fleet { 1 };
    fleet.run(5s);
    BOOST_TEST(fleet.admitOne(fleet.daemons[0]));
    BOOST_TEST(fleet.admitOne(fleet.daemons[0]));
    BOOST_TEST(!fleet.admitOne(fleet.daemons[0]));
    BOOST_TEST((fleet.lastReason == refusal_reason::WindowFull));
}

BOOST_AUTO_TEST_CASE(lapsedHolderKeepsHalfAndSuccessorWaitsForReport)
{
    test_fleet fleet { 3 };
    fleet.run(10s);
    test_daemon& former = *fleet.owner();
    const term_number formerTerm { 1 };
    BOOST_TEST(fleet.fill(former) == 12);
    former.table.isDisconnected = true;
    fleet.run(60s);
    BOOST_TEST((former.owners.phase() == term_phase::Grace));
    test_daemon* successor = fleet.owner();
    BOOST_REQUIRE(successor);
    BOOST_TEST(fleet.fill(*successor) == 0);
    BOOST_TEST((fleet.lastReason == refusal_reason::Unsettled));
    fleet.report(*successor);
    BOOST_TEST(fleet.fill(*successor) == 0);
    for (int finished = 0; finished < 8; ++finished)
        fleet.finishOne(former, formerTerm);
    fleet.report(*successor);
    BOOST_TEST(fleet.fill(*successor) == 4); // 12 - 6 - window of 2
    BOOST_TEST(fleet.fill(former) == 2);
    BOOST_TEST((fleet.lastReason == refusal_reason::AtGraceShare));
    BOOST_TEST(fleet.maxTotal == 12);
}

BOOST_AUTO_TEST_CASE(successorRegainsGraceShareAfterGracePeriod)
{
    test_fleet fleet { 3 };
    fleet.run(10s);
    test_daemon& former = *fleet.owner();
    former.table.isDisconnected = true;
    fleet.run(60s);
    test_daemon* successor = fleet.owner();
    fleet.run(40min);
    BOOST_TEST((former.owners.phase() == term_phase::Ended));
    BOOST_TEST(fleet.fill(former) == 0);
    fleet.report(*successor);
    BOOST_TEST(fleet.fill(*successor) == 10); // The window stays reserved.
}

BOOST_AUTO_TEST_CASE(lostHolderRegistersNewIncarnationAfterWindowDrains)
{
    test_fleet fleet { 2 };
    fleet.run(10s);
    test_daemon& former = *fleet.owner();
    BOOST_TEST(fleet.admitOne(former));
    former.table.isDisconnected = true;
    fleet.run(60s);
    former.table.isDisconnected = false;
    fleet.run(60s);
    BOOST_TEST(former.owners.incarnation().value() == 1U);
    fleet.writeOne(former);
    fleet.run(10s);
    BOOST_TEST(former.owners.incarnation().value() == 2U);
    BOOST_TEST((former.owners.phase() == term_phase::Running));
    fleet.finishOne(former, term_number { 1 });
    fleet.run(30s);
    for (test_daemon& daemon : fleet.daemons)
        fleet.report(daemon);
    fleet.run(5s);
    BOOST_TEST(fleet.fill(*fleet.owner()) == 12);
}

BOOST_AUTO_TEST_CASE(tableOutageChangesNoOwner)
{
    test_fleet fleet { 3 };
    fleet.run(60s); // Longer than an initial handover to the highest-ranked daemon takes.
    const daemon_id owner = fleet.owner()->id;
    const int commitsBefore = fleet.table.commits;
    fleet.table.isDown = true;
    fleet.run(10min);
    BOOST_TEST(fleet.owner() == nullptr);
    fleet.table.isDown = false;
    fleet.run(10s);
    BOOST_REQUIRE(fleet.owner());
    BOOST_TEST((fleet.owner()->id == owner));
    BOOST_TEST((fleet.daemons[0].owners.incarnation().value() == 1U && fleet.table.commits > commitsBefore));
    BOOST_TEST(fleet.fill(*fleet.owner()) == 12);
}

BOOST_DATA_TEST_CASE(lostRepliesAreResolvedByReadingBack, boost::unit_test::data::make({ 1, 2, 3, 7 }) * boost::unit_test::data::make({ false, true }), count, takesEffect)
{
    test_fleet fleet { 1 };
    (takesEffect ? fleet.daemons[0].table.loseReplies : fleet.daemons[0].table.loseRequests) = count;
    fleet.run(10s);
    BOOST_REQUIRE(fleet.owner());
    (takesEffect ? fleet.daemons[0].table.loseReplies : fleet.daemons[0].table.loseRequests) = count;
    fleet.run(60s);
    BOOST_REQUIRE(fleet.owner());
    BOOST_TEST(fleet.owner()->owners.incarnation().value() == 1U);
    BOOST_TEST(fleet.fill(*fleet.owner()) == 12);
}

BOOST_AUTO_TEST_CASE(gracefulStopHandsOverWithRunningRequestsCounted)
{
    test_fleet fleet { 2 };
    fleet.run(10s);
    test_daemon& former = *fleet.owner();
    fleet.fill(former);
    for (int finished = 0; finished < 7; ++finished)
        fleet.finishOne(former, term_number { 1 });
    former.owners.beginStop();
    fleet.run(5s);
    BOOST_TEST(former.owners.isStopped());
    test_daemon* successor = fleet.owner();
    BOOST_REQUIRE(successor);
    BOOST_TEST((successor->id != former.id));
    BOOST_TEST(fleet.fill(*successor) == 7); // Immediately and without a report: five requests still run.
    fleet.run(5s);
    fleet.finishOne(former, term_number { 1 });
    fleet.report(*successor);
    BOOST_TEST(fleet.fill(*successor) == 1);
    BOOST_TEST(fleet.maxTotal == 12);
}

BOOST_AUTO_TEST_CASE(serverMovesToHigherRankedDaemonAfterDelay)
{
    test_fleet fleet { 2 };
    fleet.view.daemons[0].zone = zone_id { "far" };
    fleet.daemons[1].isPaused = true;
    fleet.run(10s);
    BOOST_TEST((fleet.owner()->id == daemon_id { "d0" }));
    fleet.daemons[1].isPaused = false;
    fleet.run(15s); // Less than rebalanceDelay.
    BOOST_TEST((fleet.owner()->id == daemon_id { "d0" }));
    fleet.run(15s);
    BOOST_TEST((fleet.owner()->id == daemon_id { "d1" }));
}
