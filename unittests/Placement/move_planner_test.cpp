// Tests that prefixes are exported to the servers that their chats move to, and no faster than the rate limit.
#include "radishflow/Placement/move_planner.h"
#include "radishflow/Support/manual_clock.h"

#include "placement_fixture.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace radishflow;
namespace data = boost::unit_test::data;

static cache_sketch sketchOf(std::uint64_t chats)
{
    cache_sketch sketch { { .prefixes = 2 * chats } };
    for (std::uint64_t chat = 0; chat < chats; ++chat)
        sketch.apply({ chat + 1, cache_event_kind::Stored, makeRequest(chat).chatHash });
    return sketch;
}

BOOST_AUTO_TEST_CASE(leavingEngineExportsAllToPlannedFirstRanks)
{
    const std::vector<placement_server> current = makeServers(12);
    std::vector<placement_server> servers = current;
    servers[3].acceptsRequests = false;
    manual_clock clock;
    move_planner planner;
    planner.plan(sketchOf(200), 3, current, servers, clock.now());
    BOOST_TEST(planner.remaining() == 200U);
    while (planner.remaining() > 0) {
        clock.advance(std::chrono::seconds { 1 });
        const auto move = planner.next(clock.now());
        BOOST_REQUIRE(move.has_value());
        const auto firstRank = bounded_rendezvous {}.rank({ .chatHash = move->prefix, .region = servers[3].region }, servers, 1);
        BOOST_TEST(move->to.value() == servers[firstRank.front()].id.value());
        BOOST_TEST(move->from.value() == servers[3].id.value());
    }
}

BOOST_DATA_TEST_CASE(returningServerReceivesShareOfItsRamp, data::make({ 0.0, 0.3, 1.0 }), ramp)
{
    std::vector<placement_server> current = makeServers(2);
    std::vector<placement_server> servers = current;
    current[1].acceptsRequests = false;
    servers[1].ramp = ramp;
    move_planner planner;
    planner.plan(sketchOf(1000), 0, current, servers, manual_clock {}.now());
    const double expected = 500 * ramp;
    BOOST_TEST(std::abs(static_cast<double>(planner.remaining()) - expected) <= 60);
}

BOOST_AUTO_TEST_CASE(stayingEngineExportsOnlyMovedPrefixes)
{
    std::vector<placement_server> current = makeServers(12);
    std::vector<placement_server> planned = current;
    current[5].acceptsRequests = false;
    manual_clock clock;
    move_planner planner;
    planner.plan(sketchOf(600), 0, current, planned, clock.now());
    BOOST_TEST(planner.remaining() > 0U);
    while (planner.remaining() > 0) {
        BOOST_TEST(planner.next(clock.now())->to.value() == planned[5].id.value());
        clock.advance(std::chrono::seconds { 1 });
    }
}

BOOST_DATA_TEST_CASE(exportRateIsLimited, data::make({ 1, 10, 50 }), perSecond)
{
    const std::vector<placement_server> current = makeServers(3);
    std::vector<placement_server> servers = current;
    servers[0].acceptsRequests = false;
    manual_clock clock;
    move_planner planner { { .exportsPerSecond = static_cast<double>(perSecond) } };
    planner.plan(sketchOf(500), 0, current, servers, clock.now());
    int exported = 0;
    for (int tick = 0; tick < 2000; ++tick) {
        exported += planner.next(clock.now()).has_value() ? 1 : 0;
        clock.advance(std::chrono::milliseconds { 1 });
    }
    BOOST_TEST(exported == 2 * perSecond);
}

BOOST_AUTO_TEST_CASE(boundedPlanKeepsMostRecentPrefixes)
{
    const std::vector<placement_server> current = makeServers(3);
    std::vector<placement_server> servers = current;
    servers[0].acceptsRequests = false;
    const cache_sketch sketch = sketchOf(500);
    const std::vector<std::uint64_t> recent = sketch.prefixes();
    manual_clock clock;
    move_planner planner { { .maxMoves = 10 } };
    planner.plan(sketch, 0, current, servers, clock.now());
    BOOST_TEST(planner.remaining() == 10U);
    for (std::size_t i = 0; i < 10; ++i) {
        BOOST_TEST(planner.next(clock.now())->prefix == recent[i]);
        clock.advance(std::chrono::seconds { 1 });
    }
}
