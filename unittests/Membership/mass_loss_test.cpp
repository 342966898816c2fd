// Tests in virtual time what the daemons that are left know after most of a fleet is lost or cut off at the same moment.
#include "mass_loss.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>

using namespace radishflow;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

static const mass_loss massLosses[] {
    { "1 of 3", 3, 1, loss_kind::Killed, smallFleetNotice },
    { "1 of 7", 7, 1, loss_kind::Killed, smallFleetNotice },
    { "2 of 7", 7, 2, loss_kind::Killed, smallFleetNotice },
    { "2 of 7, paused", 7, 2, loss_kind::Paused, smallFleetNotice },
    { "3 of 7", 7, 3, loss_kind::Killed, smallFleetNotice },
    { "6 of 7", 7, 6, loss_kind::Killed, smallFleetNotice },
    { "2 of 12", 12, 2, loss_kind::Killed, smallFleetNotice },
    { "2 of 20", 20, 2, loss_kind::Killed, smallFleetNotice },
    { "2 of 20, paused", 20, 2, loss_kind::Paused, smallFleetNotice },
    { "4 of 20", 20, 4, loss_kind::Killed, smallFleetNotice },
    { "4 of 20, cut off", 20, 4, loss_kind::CutOff, smallFleetNotice },
};

static const std::uint64_t seeds[] = { 1, 2, 3, 4, 5 };

// Guards against directories that name lost daemons the longer, the more of them are lost for each one that is left (DRAIN).
BOOST_DATA_TEST_CASE(lostDaemonsLeaveListsHoweverFewAreLeft, data::make(massLosses) * data::make(seeds), testCase, seed)
{
    virtual_fleet fleet({ .daemons = testCase.daemons, .randomSeed = seed });
    fleet.run(10s);
    checkLostOnesLeaveLists(fleet, testCase);
}

static const mass_loss shortCuts[] {
    { "2 of 7", 7, 2, loss_kind::CutOff, {} },
    { "4 of 20", 20, 4, loss_kind::CutOff, {} },
};

// The daemons of a small part cannot distinguish the loss of all others from their own partition.
BOOST_DATA_TEST_CASE(cutOffMinorityDeclaresNobodyDeadForSeconds, data::make(shortCuts) * data::make(seeds), testCase, seed)
{
    virtual_fleet fleet({ .daemons = testCase.daemons, .randomSeed = seed });
    fleet.run(10s);
    lose(fleet, testCase);
    fleet.run(5s);
    BOOST_TEST(lostOnesListed(fleet, testCase) == 0U);
    fleet.isDropped = nullptr;
    const duration healed = fleet.runUntil([&] { return fleet.hasConverged(); }, 30s);
    BOOST_TEST_MESSAGE(testCase.name << ": healed after " << healed / 1ms << " ms");
    BOOST_TEST(healed < 30s);
    for (std::size_t i = testCase.left; i < fleet.size(); ++i)
        BOOST_TEST(fleet.table(i).counters().newIncarnations == 0U);
}

// Guards against the death of a daemon that another one, which has just started, knows as a suspect only.
BOOST_DATA_TEST_CASE(daemonThatStartsDeclaresNoSuspectDeadAtOnce, data::make(seeds), seed)
{
    virtual_fleet fleet({ .daemons = 7, .randomSeed = seed });
    fleet.run(10s);
    fleet.kill(6);
    fleet.run(10s);
    fleet.pause(5);
    fleet.runUntil([&] { return fleet.view(0, 5).state == member_state::Suspect; }, 5s);
    fleet.start(6);
    fleet.run(500ms);
    fleet.resume(5);
    fleet.run(5s);
    BOOST_TEST(fleet.table(5).counters().newIncarnations == 0U);
    BOOST_TEST(fleet.hasConverged());
}

BOOST_DATA_TEST_CASE(daemonThatPausesForAMomentStaysListed, data::make({ std::size_t { 2 }, std::size_t { 3 }, std::size_t { 7 }, std::size_t { 20 } }) * data::make(seeds), daemons, seed)
{
    virtual_fleet fleet({ .daemons = daemons, .randomSeed = seed });
    fleet.run(10s);
    std::size_t drops = 0;
    fleet.onStep = [&] {
        for (std::size_t viewer = 1; viewer < daemons; ++viewer)
            drops += isListed(fleet, viewer, 0) ? 0 : 1;
    };
    fleet.pause(0);
    fleet.run(1500ms);
    fleet.resume(0);
    fleet.run(5s);
    BOOST_TEST(drops == 0U);
}
