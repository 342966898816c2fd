// Tests which daemon serves the requests of a daemon without access to the backend servers, and which daemons callers are directed to.
#include "radishflow/Routing/caller_addresses.h"
#include "radishflow/Routing/peer_selector.h"
#include "radishflow/Support/manual_clock.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <map>
#include <ostream>
#include <string>
#include <vector>

using namespace radishflow;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t service = 7;
constexpr std::uint32_t otherService = 8;

std::string hostOf(int daemon) { return "10.0.0." + std::to_string(daemon); }

fleet_view fleetOf(int daemons)
{
    fleet_view fleet { .self = daemon_id { "d0" }, .size = static_cast<std::size_t>(daemons) };
    for (int number = 0; number < daemons; ++number)
        fleet.daemons.push_back({ .id = daemon_id { "d" + std::to_string(number) }, .callerAddress = hostOf(number) + ":80", .acceptsCallers = true });
    return fleet;
}

struct statement_case {
    const char* name;
    std::uint32_t service;
    duration lossAge; ///< How long ago this daemon lost its access.
    std::optional<duration> contactAge;
    duration statementAge;
    bool isChosen;

    friend std::ostream& operator<<(std::ostream& out, const statement_case& testCase) { return out << testCase.name; }
};

const std::vector<statement_case> statements {
    { "reached a server since the loss", service, 1s, 50ms, 0ms, true },
    { "reached one before the loss only", service, 1s, 1200ms, 0ms, false },
    { "reached one as the loss began", service, 1s, 950ms, 0ms, false },
    { "reached a server of another service", otherService, 1s, 50ms, 0ms, false },
    { "lost its access too", service, 1s, std::nullopt, 0ms, false },
    { "silent for long", service, 9s, 50ms, 4s, false },
};

struct address_case {
    const char* name;
    std::vector<bool> reaching;
    std::size_t named;

    friend std::ostream& operator<<(std::ostream& out, const address_case& testCase) { return out << testCase.name; }
};

const std::vector<address_case> addressCases {
    { "all reach servers", { true, true, true, true }, 4 },
    { "a zone does not", { true, true, true, false }, 3 },
    { "half of them do not", { true, true, false, false }, 2 },
    { "most do not", { true, false, false, false }, 4 },
    { "none does", { false, false, false, false }, 4 },
};

} // namespace

BOOST_DATA_TEST_CASE(onlyDaemonsThatReachedServersSinceTheLossAreChosen, boost::unit_test::data::make(statements), testCase)
{
    manual_clock clock;
    peer_selector<manual_clock> selector { clock };
    const fleet_view fleet = fleetOf(2);
    const time_point lostAt = clock.now() - testCase.lossAge;
    if (!testCase.contactAge)
        selector.recordStatement(hostOf(1), testCase.service, 10ms);
    selector.recordStatement(hostOf(1), testCase.service, testCase.contactAge);
    clock.advance(testCase.statementAge);
    BOOST_TEST(selector.hasPeer(fleet, service, lostAt) == testCase.isChosen);
    BOOST_TEST(selector.choose(fleet, service, lostAt, {}, 1).has_value() == testCase.isChosen);
}

BOOST_AUTO_TEST_CASE(failedDaemonsArePausedAndTriedOnesExcluded)
{
    manual_clock clock;
    peer_selector<manual_clock> selector { clock };
    const fleet_view fleet = fleetOf(2);
    const time_point lostAt = clock.now() - 1s;
    selector.recordStatement(hostOf(1), service, 0ms);
    const auto chosen = selector.choose(fleet, service, lostAt, {}, 1);
    BOOST_REQUIRE(chosen.has_value());
    BOOST_TEST(!selector.choose(fleet, service, lostAt, { chosen->id }, 1).has_value());
    selector.finish(*chosen, peer_outcome::Failed);
    BOOST_TEST(!selector.choose(fleet, service, lostAt, {}, 1).has_value());
    BOOST_TEST(selector.hasPeer(fleet, service, lostAt));
    clock.advance(1100ms);
    BOOST_TEST(selector.choose(fleet, service, lostAt, {}, 1).has_value());
}

BOOST_AUTO_TEST_CASE(requestsAreSpreadOverTheDaemons)
{
    manual_clock clock;
    peer_selector<manual_clock> selector { clock };
    constexpr int daemons = 6;
    const fleet_view fleet = fleetOf(daemons);
    for (int daemon = 1; daemon < daemons; ++daemon)
        selector.recordStatement(hostOf(daemon), service, 0ms);
    std::map<daemon_id, int> requests;
    for (std::uint64_t number = 0; number < 200; ++number)
        ++requests[selector.choose(fleet, service, clock.now() - 1s, {}, number * 0x9E3779B97F4A7C15ULL)->id];
    BOOST_TEST(requests.size() == static_cast<std::size_t>(daemons - 1));
    for (const auto& [daemon, count] : requests)
        BOOST_TEST(count <= 60); // 40 each if spread evenly.
}

BOOST_AUTO_TEST_CASE(daemonThatDispatchesIsPausedAfterItFailed)
{
    manual_clock clock;
    peer_selector<manual_clock> selector { clock };
    const fleet_view fleet = fleetOf(2);
    const fleet_daemon& dispatcher = fleet.daemons[1];
    BOOST_TEST(selector.tryStart(dispatcher));
    BOOST_TEST(selector.tryStart(dispatcher));
    selector.finish(dispatcher, peer_outcome::Served);
    BOOST_TEST(selector.tryStart(dispatcher));
    selector.finish(dispatcher, peer_outcome::Failed);
    BOOST_TEST(!selector.tryStart(dispatcher));
    clock.advance(1100ms);
    BOOST_TEST(selector.tryStart(dispatcher));
}

BOOST_AUTO_TEST_CASE(memoryForStatementsIsBounded)
{
    manual_clock clock;
    peer_selector<manual_clock> selector { clock, { .maxPeers = 4, .maxServicesPerPeer = 2 } };
    for (int daemon = 1; daemon < 100; ++daemon) {
        for (std::uint32_t each = 0; each < 100; ++each)
            selector.recordStatement(hostOf(daemon), each, 0ms);
    }
    BOOST_TEST(selector.peerCount() <= 4U);
}

BOOST_DATA_TEST_CASE(callersAreDirectedToDaemonsThatReachServers, boost::unit_test::data::make(addressCases), testCase)
{
    fleet_view fleet = fleetOf(static_cast<int>(testCase.reaching.size()));
    for (std::size_t number = 0; number < testCase.reaching.size(); ++number)
        fleet.daemons[number].reachesServers = testCase.reaching[number];
    BOOST_TEST(callerAddresses(fleet, { .isReady = true, .reachesServers = testCase.reaching.front() }).size() == testCase.named);
}

BOOST_AUTO_TEST_CASE(callersAreNotDirectedToThisDaemonWhileItStops)
{
    const auto addresses = callerAddresses(fleetOf(2), { .isReady = true, .isStopping = true });
    BOOST_TEST(addresses == std::vector<std::string> { hostOf(1) + ":80" }, boost::test_tools::per_element());
}

// Also while it stops, as callers take an empty answer for a failure.
BOOST_AUTO_TEST_CASE(daemonThatKnowsNoOtherNamesItself)
{
    const fleet_view fleet = fleetOf(1);
    for (const bool isReady : { false, true }) {
        for (const bool isStopping : { false, true }) {
            const auto addresses = callerAddresses(fleet, { .isReady = isReady, .isStopping = isStopping });
            BOOST_TEST(addresses == std::vector<std::string> { hostOf(0) + ":80" }, boost::test_tools::per_element());
        }
    }
}
