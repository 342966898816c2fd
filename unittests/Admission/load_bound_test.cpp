// Tests that the bound holds with delayed views, and by how much the mean errs.
#include "radishflow/Admission/load_bound.h"
#include "radishflow/Support/manual_clock.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <random>

using namespace radishflow;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_CASE(idleFleetTakesWork)
{
    manual_clock clock;
    load_bound<manual_clock> bound { clock, daemon_id { "d0" }, {} };
    bound.setListedServers(1300);
    BOOST_TEST(bound.admits(0));
    BOOST_TEST(!bound.admits(1));
}

BOOST_AUTO_TEST_CASE(unknownServersLowerTheMean)
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

/// Many owners whose work moves at random, each seen after a delay.
BOOST_DATA_TEST_CASE(meanErrsLowAndByNoMoreThanStated, boost::unit_test::data::make({ 200ms, 1000ms, 4000ms }) * boost::unit_test::data::make({ 1, 2, 3 }), delay, seed)
{
    constexpr int owners = 20;
    constexpr int serversOfOwner = 4;
    constexpr duration maxAggregateAge = 10s;
    constexpr double fallPerSecond = 0.1; // Of the work; 1 / maxAggregateAge.
    manual_clock clock;
    std::mt19937 random { static_cast<unsigned>(seed) };
    load_bound<manual_clock> bound { clock, daemon_id { "self" }, { .maxAggregateAge = maxAggregateAge } };
    std::vector<double> running(owners, 100);
    double leastRatio = 1;
    for (std::uint64_t round = 1; round < 200; ++round) {
        for (int owner = 0; owner < owners; ++owner) {
            const load_aggregate aggregate { .owner = daemon_id { std::to_string(owner) }, .sequence = round, .running = static_cast<int>(running[owner]), .servers = serversOfOwner };
            bound.merge(aggregate);
        }
        double total = 0;
        const double seconds = std::chrono::duration<double>(delay).count();
        std::uniform_real_distribution<double> change { -fallPerSecond * seconds, fallPerSecond * seconds };
        for (double& work : running) {
            work = std::clamp(work * (1 + change(random)), 20.0, 400.0);
            total += work;
        }
        clock.advance(delay);
        const double trueMean = total / (owners * serversOfOwner);
        BOOST_REQUIRE_LE(bound.meanLoad(), trueMean);
        leastRatio = std::min(leastRatio, bound.meanLoad() / trueMean);
    }
    const double part = std::chrono::duration<double>(delay) / std::chrono::duration<double>(maxAggregateAge);
    const double growth = 1 + fallPerSecond * std::chrono::duration<double>(delay).count();
    const double rounding = 0.05; // Aggregates are whole numbers of at least 20.
    BOOST_TEST(leastRatio >= (1 - part) / growth - rounding);
}

BOOST_DATA_TEST_CASE(evenFleetCanGrow, boost::unit_test::data::make({ 1, 2, 10, 60 }), level)
{
    manual_clock clock;
    load_bound<manual_clock> bound { clock, daemon_id { "d0" }, { .multiple = 1.25 } };
    bound.setOwnLoad(level * 4, 4);
    bound.merge({ .owner = daemon_id { "d1" }, .sequence = 1, .running = level * 1200, .servers = 1200 });
    clock.advance(1s);
    BOOST_TEST(bound.admits(level));
}
