// Tests in virtual time that packet loss, partitions, pauses and flapping cause no false death of a reachable daemon,
// and that the traffic stays bounded.
#include "virtual_fleet.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace radishflow;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

static const std::uint64_t seeds[] = { 1, 2, 3, 4, 5 };

static virtual_fleet_options fleetOf(std::size_t daemons, std::uint64_t seed, membership_test_switches switches = {})
{
    virtual_fleet_options options { .daemons = daemons, .randomSeed = seed };
    options.base.testSwitches = switches;
    return options;
}

static std::uint64_t deathsUnderLoss(std::uint64_t seed, membership_test_switches switches)
{
    virtual_fleet_options options = fleetOf(7, seed, switches);
    options.loss = 0.2;
    options.duplication = 0.05;
    options.maxDelay = 30ms;
    virtual_fleet fleet(options);
    fleet.run(300s);
    return fleet.sumOf(&membership_counters::deaths);
}

BOOST_DATA_TEST_CASE(packetLossCausesNoDeaths, data::make(seeds), seed)
{
    BOOST_TEST(deathsUnderLoss(seed, {}) == 0);
}

BOOST_AUTO_TEST_CASE(packetLossCausesDeathsWithoutSuspicion)
{
    BOOST_TEST(deathsUnderLoss(1, { .noSuspicion = true, .noIndirectProbes = true }) > 0);
}

static std::uint64_t deathsUnderOneWayPartition(bool isToVictim, membership_test_switches switches)
{
    virtual_fleet fleet(fleetOf(7, 1, switches));
    fleet.run(10s);
    // Between daemon 3 and half of the other daemons, datagrams of one direction are lost.
    fleet.isDropped = [&](std::size_t from, std::size_t to) { return isToVictim ? to == 3 && from % 2 == 0 : from == 3 && to % 2 == 0; };
    fleet.run(120s);
    return fleet.sumOf(&membership_counters::deaths);
}

BOOST_DATA_TEST_CASE(oneWayPartitionCausesNoDeaths, data::make({ false, true }), isToVictim)
{
    BOOST_TEST(deathsUnderOneWayPartition(isToVictim, {}) == 0);
    BOOST_TEST(deathsUnderOneWayPartition(isToVictim, { .noIndirectProbes = true }) > 0);
}

BOOST_DATA_TEST_CASE(pausedDaemonRejoinsWithNewIncarnation, data::make(seeds) * data::make({ false, true }), seed, wasHostSuspended)
{
    virtual_fleet fleet(fleetOf(7, seed));
    fleet.run(10s);
    const incarnation_number before = fleet.table(2).incarnation();
    fleet.pause(2);
    fleet.run(30s);
    BOOST_TEST(fleet.allSee(2, member_state::Dead));
    fleet.resume(2, wasHostSuspended);
    fleet.run(10s);
    BOOST_TEST(fleet.hasConverged());
    BOOST_TEST((fleet.table(2).incarnation() > before));
    BOOST_TEST(fleet.table(2).counters().suspicions == 0);
}

// A daemon is paused while it suspects another, which recovers during the pause; returns the number of deaths that the
// paused daemon declares after it resumes.
static std::uint64_t deathsAfterPause(membership_test_switches switches)
{
    virtual_fleet fleet(fleetOf(7, 1, switches));
    fleet.run(10s);
    fleet.isDropped = [](std::size_t from, std::size_t to) { return from == 5 || to == 5; };
    fleet.runUntil([&] { return fleet.view(2, 5).state == member_state::Suspect; }, 10s);
    fleet.pause(2);
    fleet.isDropped = nullptr;
    fleet.run(30s);
    fleet.resume(2, true);
    fleet.run(10s);
    return fleet.table(2).counters().deaths;
}

BOOST_AUTO_TEST_CASE(resumedDaemonDeclaresNoDeaths)
{
    BOOST_TEST(deathsAfterPause({}) == 0);
    BOOST_TEST(deathsAfterPause({ .noPauseDetection = true }) > 0);
}

// Disconnects and reconnects one daemon for two minutes; returns the bytes of updates about it that others receive, in any datagram.
static std::size_t updateBytesOfFlapping(membership_test_switches switches)
{
    virtual_fleet fleet(fleetOf(25, 1, switches));
    fleet.run(10s);
    std::size_t updateBytes = 0;
    fleet.onSend = [&](std::size_t, std::size_t to, const gossip_message& message) {
        for (const member_update& update : message.members)
            updateBytes += update.id == virtual_fleet::idOf(5) && to != 5 ? encodedBound(update) : 0;
    };
    bool isDisconnected = false;
    fleet.isDropped = [&](std::size_t from, std::size_t to) { return isDisconnected && (from == 5 || to == 5); };
    for (int turn = 0; turn < 60; ++turn) {
        isDisconnected = turn % 2 == 0;
        fleet.run(2s);
    }
    isDisconnected = false;
    fleet.run(20s);
    BOOST_TEST(fleet.hasConverged());
    BOOST_TEST(fleet.sumOf(&membership_counters::deaths) == fleet.table(5).counters().newIncarnations);
    return updateBytes;
}

BOOST_AUTO_TEST_CASE(dampingHalvesUpdatesOfFlappingMember)
{
    const std::size_t dampedBytes = updateBytesOfFlapping({});
    const std::size_t undampedBytes = updateBytesOfFlapping({ .noDamping = true });
    BOOST_TEST_MESSAGE("updates about a flapping member: " << dampedBytes << " bytes with damping, " << undampedBytes << " without");
    BOOST_TEST(dampedBytes * 2 < undampedBytes);
}

namespace {
// Outcome of a partition of two minutes between two regions.
struct region_partition_outcome {
    std::uint64_t deaths = 0;
    std::uint64_t newIncarnations = 0;
    bool isMarked = false;
    bool isHealed = false;
    std::size_t peakBytesPerSecond = 0; ///< Maximum that one daemon sent within a second.
};
} // namespace

static region_partition_outcome partitionRegions(membership_test_switches switches)
{
    virtual_fleet_options options = fleetOf(24, 1, switches);
    options.regions = 2;
    virtual_fleet fleet(options);
    fleet.run(20s);
    std::vector<std::size_t> sent(24);
    fleet.onSend = [&](std::size_t from, std::size_t, const gossip_message& message) {
        sent[from] += messageHeaderBound / 3;
        for (const member_update& update : message.members)
            sent[from] += encodedBound(update);
    };
    region_partition_outcome outcome;
    const auto runMeasured = [&](int seconds) {
        for (int second = 0; second < seconds; ++second) {
            std::fill(sent.begin(), sent.end(), 0);
            fleet.run(1s);
            outcome.peakBytesPerSecond = std::max(outcome.peakBytesPerSecond, *std::max_element(sent.begin(), sent.end()));
        }
    };
    fleet.isDropped = [&](std::size_t from, std::size_t to) { return fleet.regionOf(from) != fleet.regionOf(to); };
    runMeasured(120);
    outcome.isMarked = !fleet.view(0, 1).isRegionReachable && fleet.view(0, 2).isRegionReachable;
    fleet.isDropped = nullptr;
    runMeasured(20);
    outcome.deaths = fleet.sumOf(&membership_counters::deaths);
    outcome.newIncarnations = fleet.sumOf(&membership_counters::newIncarnations);
    outcome.isHealed = fleet.hasConverged() && fleet.view(0, 1).isRegionReachable;
    return outcome;
}

BOOST_AUTO_TEST_CASE(partitionBetweenRegionsCausesNoDeathsAndHeals)
{
    const region_partition_outcome outcome = partitionRegions({});
    BOOST_TEST(outcome.deaths == 0);
    BOOST_TEST(outcome.newIncarnations == 0);
    BOOST_TEST(outcome.isMarked);
    BOOST_TEST(outcome.isHealed);
    BOOST_TEST_MESSAGE("peak of one daemon: " << outcome.peakBytesPerSecond << " bytes/s");
    BOOST_TEST(outcome.peakBytesPerSecond < 10000);
}

BOOST_AUTO_TEST_CASE(partitionBetweenRegionsCausesDeathsWithoutRegionAwareness)
{
    BOOST_TEST(partitionRegions({ .noRegions = true }).deaths >= 24);
}

static bool healsAfterPartitionInsideRegion(membership_test_switches switches)
{
    virtual_fleet fleet(fleetOf(9, 1, switches));
    fleet.run(10s);
    fleet.isDropped = [](std::size_t from, std::size_t to) { return (from < 4) != (to < 4); };
    fleet.run(60s);
    BOOST_TEST(fleet.countOf(0, member_state::Dead) == 5);
    fleet.isDropped = nullptr;
    fleet.run(30s);
    return fleet.hasConverged();
}

BOOST_AUTO_TEST_CASE(partitionInsideRegionHeals)
{
    BOOST_TEST(healsAfterPartitionInsideRegion({}));
    BOOST_TEST(!healsAfterPartitionInsideRegion({ .noRejoin = true }));
}

BOOST_AUTO_TEST_CASE(leavingDaemonIsSeenAsLeftWithinOneSecond)
{
    virtual_fleet fleet(fleetOf(7, 1));
    fleet.run(10s);
    fleet.leave(3);
    fleet.run(1s);
    BOOST_TEST(fleet.allSee(3, member_state::Left));
    fleet.kill(3);
    fleet.run(10s);
    BOOST_TEST(fleet.allSee(3, member_state::Left));
    fleet.start(3);
    fleet.run(5s);
    BOOST_TEST(fleet.hasConverged());
}

BOOST_AUTO_TEST_CASE(daemonThatReceivesNothingIsDeadAndSuspectsNobody)
{
    virtual_fleet fleet(fleetOf(7, 1));
    fleet.run(10s);
    fleet.isDropped = [](std::size_t, std::size_t to) { return to == 3; };
    fleet.run(20s);
    BOOST_TEST(fleet.allSee(3, member_state::Dead));
    BOOST_TEST(fleet.table(3).isIsolated());
    BOOST_TEST(fleet.table(3).counters().suspicions == 0);
    fleet.isDropped = nullptr;
    fleet.run(30s);
    BOOST_TEST(fleet.hasConverged());
}

// Guards against the last daemon of a fleet that lists the lost ones for good, as it declares no member dead while no datagram arrives,
// and against one that takes its own pause for the loss of the others.
BOOST_AUTO_TEST_CASE(lastDaemonKnowsWhichOthersRespond)
{
    virtual_fleet fleet(fleetOf(3, 1));
    const auto responsive = [&] {
        std::size_t count = 0;
        for (std::size_t of = 1; of < fleet.size(); ++of)
            count += fleet.view(0, of).isResponsive && fleet.view(0, of).state != member_state::Dead ? 1 : 0;
        return count;
    };
    fleet.run(10s);
    BOOST_TEST(responsive() == 2U);
    fleet.pause(0);
    fleet.run(10s);
    BOOST_TEST(responsive() == 2U);
    fleet.resume(0);
    fleet.run(1s);
    BOOST_TEST(responsive() == 2U);
    fleet.run(4s);
    BOOST_TEST(responsive() == 2U);
    fleet.kill(1);
    fleet.run(10s);
    BOOST_TEST(responsive() == 1U);
    fleet.start(1);
    fleet.run(10s);
    BOOST_TEST(responsive() == 2U);
    fleet.kill(1);
    fleet.kill(2);
    fleet.run(4500ms);
    BOOST_TEST(responsive() == 0U);
    fleet.start(2);
    fleet.run(3s);
    BOOST_TEST(responsive() == 1U);
}

BOOST_AUTO_TEST_CASE(restartWithLowerIncarnationIsRecognised)
{
    virtual_fleet fleet(fleetOf(7, 1));
    fleet.run(10s);
    const incarnation_number before = fleet.table(3).incarnation();
    fleet.start(3, incarnation_number { 1 });
    fleet.run(5s);
    BOOST_TEST(fleet.hasConverged());
    BOOST_TEST((fleet.table(3).incarnation() > before));
    BOOST_TEST((fleet.view(0, 3).incarnation == fleet.table(3).incarnation()));
}
