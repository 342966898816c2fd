// Tests that an availability zone out of service receives no new requests, and that requests keep succeeding while a
// zone is taken out of service, fails without notice, or returns.
#include "chat_callers.h"

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <boost/test/unit_test.hpp>

#include <csignal>
#include <thread>

using namespace radishflow;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

// A reduced model of the Port Louis deployment: four zones, seven daemons and eight engines that start cold.
static const test_fleet_options zoneFleet {
    .zones = { "za", "zb", "zc", "zd" },
    .daemons = 7,
    .engines = 8,
    .plains = 0,
    .engineArguments = { "--cold_limit=2", "--warm_after=4", "--slots=8", "--first_token_ms=20", "--token_interval_ms=5", "--report_lag_ms=500" },
    .daemonArguments = { "--address_keep_seconds=2" },
    .coldLimit = 2,
    .serverLimit = 8,
    .loadMultiple = "2",
};

/// Returns the number of requests that an engine has started, according to its own record.
static int startedRequestsAt(const fleet_member& engine)
{
    const auto record = Poco::JSON::Parser {}.parse(test_fleet::record(engine.target)).extract<Poco::JSON::Object::Ptr>();
    const auto requests = record->getObject("requests");
    int sum = 0;
    for (const std::string& id : requests->getNames())
        sum += requests->getValue<int>(id);
    return sum;
}

static int startedRequestsIn(test_fleet& fleet, const std::string& zone)
{
    int sum = 0;
    for (const fleet_member& engine : fleet.engines())
        sum += engine.zone == zone ? startedRequestsAt(engine) : 0;
    return sum;
}

static int overloads(test_fleet& fleet)
{
    int sum = 0;
    for (const fleet_member& engine : fleet.engines()) {
        const std::string text = test_fleet::record(engine.target);
        if (!text.empty())
            sum += Poco::JSON::Parser {}.parse(text).extract<Poco::JSON::Object::Ptr>()->getValue<int>("overloads");
    }
    return sum;
}

static void logResults(const char* step, const chat_callers& callers, long firstSecond, long last)
{
    BOOST_TEST_MESSAGE(step << ": minimum success rate in a second " << callers.service().minSuccessRate(firstSecond, last) << ", last second below 99% " << callers.service().lastSecondBelow(0.99) << ", sent " << callers.service().sent());
    for (const std::string& problem : callers.problems())
        BOOST_TEST_MESSAGE("  " << problem);
}

// Waits until the engines are warm, since cold engines accept few requests, and returns the second at which the
// measurement starts.
static long warmUp(const chat_callers& callers)
{
    std::this_thread::sleep_for(milliseconds { 6000 });
    return callers.service().secondOf(steady_clock::now());
}

BOOST_AUTO_TEST_CASE(zoneOutOfServiceGetsNoNewRequestsAndCallersAreServedThroughout)
{
    test_fleet fleet { zoneFleet };
    BOOST_REQUIRE(fleet.isReady());
    chat_callers callers { callerAddressesOf(fleet), {} };
    const long firstSecond = warmUp(callers);
    BOOST_TEST(fleet.runTool({ "zone", "out", "zb" }) == 0);
    std::this_thread::sleep_for(milliseconds { 5000 });
    const int requestsBefore = startedRequestsIn(fleet, "zb");
    std::this_thread::sleep_for(milliseconds { 3000 });
    BOOST_TEST(startedRequestsIn(fleet, "zb") == requestsBefore);
    BOOST_TEST(fleet.runTool({ "zone", "in", "zb" }) == 0);
    std::this_thread::sleep_for(milliseconds { 4000 });
    BOOST_TEST(startedRequestsIn(fleet, "zb") > requestsBefore);
    const long last = callers.service().secondOf(steady_clock::now()) - 1;
    callers.stop();
    logResults("planned removal", callers, firstSecond, last);
    BOOST_TEST(callers.service().minSuccessRate(firstSecond, last) >= 0.99);
    BOOST_TEST(callers.wrongResponses() == 0);
    BOOST_TEST(overloads(fleet) == 0);
}

BOOST_AUTO_TEST_CASE(zoneIsTakenOutOfServiceWhileTheStoreIsUnreachable)
{
    test_fleet fleet { zoneFleet };
    BOOST_REQUIRE(fleet.isReady());
    chat_callers callers { callerAddressesOf(fleet), {} };
    warmUp(callers);
    const std::string callerAddress = fleet.daemons()[0].http;
    test_fleet::setFaults(fleet.platformControl(), R"({"down":"refuse"})");
    BOOST_TEST(fleet.runTool({ "zone", "out", "zc", "--daemon=" + callerAddress }) == 0);
    std::this_thread::sleep_for(milliseconds { 5000 });
    const int requestsBefore = startedRequestsIn(fleet, "zc");
    std::this_thread::sleep_for(milliseconds { 2000 });
    BOOST_TEST(startedRequestsIn(fleet, "zc") == requestsBefore);
    test_fleet::setFaults(fleet.platformControl(), R"({"down":false})");
    callers.stop();
    BOOST_TEST(overloads(fleet) == 0);
}

BOOST_AUTO_TEST_CASE(requestsSucceedWithinFiveSecondsAfterAZoneFailsWithoutNotice)
{
    test_fleet fleet { zoneFleet };
    BOOST_REQUIRE(fleet.isReady());
    chat_callers callers { callerAddressesOf(fleet), {} };
    const long firstSecond = warmUp(callers);
    const auto lostAt = steady_clock::now();
    for (auto* members : { &fleet.daemons(), &fleet.engines() }) {
        for (fleet_member& member : *members) {
            if (member.zone == "zd")
                member.process->signal(SIGKILL);
        }
    }
    std::this_thread::sleep_for(milliseconds { 9000 });
    const long last = callers.service().secondOf(steady_clock::now()) - 1;
    const long recoveredSecond = callers.service().secondOf(lostAt) + 5;
    callers.stop();
    logResults("unplanned loss", callers, firstSecond, last);
    BOOST_TEST(callers.service().minSuccessRate(recoveredSecond, last) >= 0.99);
    BOOST_TEST(callers.wrongResponses() == 0);
    BOOST_TEST(overloads(fleet) == 0);
}
