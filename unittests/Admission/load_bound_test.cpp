// Tests that load_bound holds with delayed aggregates, and how far its mean is below the true mean.
#include "radishflow/Admission/load_bound.h"
#include "radishflow/Support/manual_clock.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <random>

using namespace radishflow;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_CASE(idleFleetAcceptsOneRequestPerServer)
{
    manual_clock clock;
    load_bound<manual_clock> bound { clock, daemon_id { "d0" }, {} };
    bound.setListedServers(1300);
    BOOST_TEST(bound.admits(0));
    BOOST_TEST(!bound.admits(1));
}

BOOST_AUTO_TEST_CASE(listedServersWithoutAnAggregateLowerTheMean)
{
    manual_clock clock;
    load_bound<manual_clock> bound { clock, daemon_id { "d0" }, { .multiple = 1.5 } };
    bound.setOwnLoad(40, 4);
    BOOST_TEST(bound.allowed() == 16); // 1.5 * 41 / 4, rounded up
    bound.setListedServers(8);
    BOOST_TEST(bound.allowed() == 8);
    bound.merge({ .owner = daemon_id { "d1" }, .sequence = 1, .running = 40, .servers = 4 });
    BOOST_TEST(bound.allowed() == 16);
    clock.advance(5s);
    BOOST_TEST(bound.meanLoad() == 7.5);
    clock.advance(10s);
    BOOST_TEST(bound.meanLoad() == 5);
}

BOOST_AUTO_TEST_CASE(olderAggregatesAreIgnored)
{
    manual_clock clock;
    load_bound<manual_clock> bound { clock, daemon_id { "d0" }, {} };
    bound.merge({ .owner = daemon_id { "d1" }, .incarnation = incarnation_number { 2 }, .sequence = 1, .running = 3, .servers = 1 });
    bound.merge({ .owner = daemon_id { "d1" }, .incarnation = incarnation_number { 1 }, .sequence = 9, .running = 90, .servers = 1 });
    BOOST_TEST(bound.meanLoad() == 3);
}

// Delayed aggregates must not make the mean exceed the true mean, or servers would run more than the bound. The loads of
// many owners change at random, and each load is received after a delay.
BOOST_DATA_TEST_CASE(meanIsBelowTheTrueMeanByNoMoreThanTheDocumentedPart, boost::unit_test::data::make({ 200ms, 1000ms, 4000ms }) * boost::unit_test::data::make({ 1, 2, 3 }), delay, seed)
{
    constexpr int owners = 20;
    constexpr int serversPerOwner = 4;
    constexpr duration maxAggregateAge = 10s;
    constexpr double decreasePerSecond = 0.1; // Part of the load; 1 / maxAggregateAge.
    manual_clock clock;
    std::mt19937 random { static_cast<unsigned>(seed) };
    load_bound<manual_clock> bound { clock, daemon_id { "self" }, { .maxAggregateAge = maxAggregateAge } };
    std::vector<double> running(owners, 100);
    double minRatio = 1;
    for (std::uint64_t round = 1; round < 200; ++round) {
        for (int owner = 0; owner < owners; ++owner) {
            const load_aggregate aggregate { .owner = daemon_id { std::to_string(owner) }, .sequence = round, .running = static_cast<int>(running[owner]), .servers = serversPerOwner };
            bound.merge(aggregate);
        }
        double total = 0;
        const double seconds = std::chrono::duration<double>(delay).count();
        std::uniform_real_distribution<double> change { -decreasePerSecond * seconds, decreasePerSecond * seconds };
        for (double& load : running) {
            load = std::clamp(load * (1 + change(random)), 20.0, 400.0);
            total += load;
        }
        clock.advance(delay);
        const double trueMean = total / (owners * serversPerOwner);
        BOOST_REQUIRE_LE(bound.meanLoad(), trueMean);
        minRatio = std::min(minRatio, bound.meanLoad() / trueMean);
    }
    const double agedPart = std::chrono::duration<double>(delay) / std::chrono::duration<double>(maxAggregateAge);
    const double growth = 1 + decreasePerSecond * std::chrono::duration<double>(delay).count();
    const double roundingTolerance = 0.05; // Aggregates are whole numbers of at least 20.
    BOOST_TEST(minRatio >= (1 - agedPart) / growth - roundingTolerance);
}

BOOST_DATA_TEST_CASE(evenlyLoadedFleetAcceptsAnotherRequest, boost::unit_test::data::make({ 1, 2, 10, 60 }), level)
{
    manual_clock clock;
    load_bound<manual_clock> bound { clock, daemon_id { "d0" }, { .multiple = 1.25 } };
    bound.setOwnLoad(level * 4, 4);
    bound.merge({ .owner = daemon_id { "d1" }, .sequence = 1, .running = level * 1200, .servers = 1200 });
    clock.advance(1s);
    BOOST_TEST(bound.admits(level));
}
