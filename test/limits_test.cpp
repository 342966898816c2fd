// Tests that no engine is loaded above its limits: when all engines are cold, when an engine turns cold undetected, when
// all requests belong to one chat, and when a request crashes engines.
#include "chat_callers.h"

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cmath>
#include <csignal>
#include <thread>

using namespace radishflow;
using std::chrono::milliseconds;

static int recordedCount(const fleet_member& engine, const char* name)
{
    const std::string text = test_fleet::record(engine.target);
    return text.empty() ? 0 : Poco::JSON::Parser {}.parse(text).extract<Poco::JSON::Object::Ptr>()->optValue<int>(name, 0);
}

static int totalRecordedCount(test_fleet& fleet, const char* name)
{
    int sum = 0;
    for (const fleet_member& engine : fleet.engines())
        sum += recordedCount(engine, name);
    return sum;
}

static void logResults(const chat_callers& callers)
{
    BOOST_TEST_MESSAGE("sent " << callers.service().sent() << ", wrong responses " << callers.wrongResponses());
    for (const std::string& problem : callers.problems())
        BOOST_TEST_MESSAGE("  " << problem);
}

static const test_fleet_options coldFleet {
    .daemons = 4,
    .engines = 4,
    .plains = 0,
    .engineArguments = { "--cold_limit=2", "--warm_after=4", "--slots=8", "--first_token_ms=20", "--token_interval_ms=5", "--report_lag_ms=500" },
    .coldLimit = 2,
    .serverLimit = 8,
    .loadMultiple = "2",
};

BOOST_AUTO_TEST_CASE(coldFleetUnderFullLoadIsNeverOverloaded)
{
    test_fleet fleet { coldFleet };
    BOOST_REQUIRE(fleet.isReady());
    chat_callers callers { callerAddressesOf(fleet), { .callers = 24, .pause = milliseconds { 0 } } };
    std::this_thread::sleep_for(milliseconds { 5000 });
    callers.stop();
    logResults(callers);
    BOOST_TEST(totalRecordedCount(fleet, "overloads") == 0);
    BOOST_TEST(callers.wrongResponses() == 0);
    BOOST_TEST(callers.service().sent() > 200);
    for (const fleet_member& engine : fleet.engines())
        BOOST_TEST(recordedCount(engine, "max_running_cold") <= 2);
}

BOOST_AUTO_TEST_CASE(engineThatTurnsColdUndetectedIsNotOverloaded)
{
    // A cold engine's first token takes three times as long, which exceeds the bound set in the service file.
    test_fleet_options options = coldFleet;
    options.engineArguments = { "--cold_limit=2", "--warm_after=4", "--slots=8", "--first_token_ms=60", "--token_interval_ms=5", "--report_lag_ms=500" };
    options.firstTokenAtMost = "120ms";
    test_fleet fleet { options };
    BOOST_REQUIRE(fleet.isReady());
    chat_callers callers { callerAddressesOf(fleet), { .callers = 16, .pause = milliseconds { 0 } } };
    std::this_thread::sleep_for(milliseconds { 3000 });
    for (int round = 0; round < 8; ++round) {
        test_fleet::setFaults(fleet.engines()[static_cast<std::size_t>(round) % 4].target, R"({"cold":true})");
        std::this_thread::sleep_for(milliseconds { 700 });
    }
    callers.stop();
    logResults(callers);
    BOOST_TEST(callers.wrongResponses() == 0);
    BOOST_TEST_MESSAGE("overloads " << totalRecordedCount(fleet, "overloads"));
    for (const fleet_member& engine : fleet.engines())
        BOOST_TEST_MESSAGE(test_fleet::record(engine.target).substr(0, 400));
    BOOST_TEST(totalRecordedCount(fleet, "overloads") == 0);
}

BOOST_AUTO_TEST_CASE(busyChatDoesNotLoadAnEngineAboveTheLoadMultiple)
{
    constexpr int callerCount = 24;
    constexpr int engineCount = 8;
    constexpr double loadMultiple = 1.5;
    test_fleet fleet { {
        .daemons = 4,
        .engines = engineCount,
        .plains = 0,
        .engineArguments = { "--cold_limit=0", "--slots=32", "--first_token_ms=20", "--token_interval_ms=20" },
        .coldLimit = 16,
        .serverLimit = 16,
        .loadMultiple = "1.5",
    } };
    BOOST_REQUIRE(fleet.isReady());
    chat_callers callers { callerAddressesOf(fleet), { .callers = callerCount, .tokens = 40, .isOneChat = true } };
    std::this_thread::sleep_for(milliseconds { 8000 });
    callers.stop();
    logResults(callers);
    // At most one request per caller runs at a time, so the mean load including one further request never exceeds this.
    const int bound = static_cast<int>(std::ceil(loadMultiple * (callerCount + 1) / engineCount));
    for (const fleet_member& engine : fleet.engines())
        BOOST_TEST(recordedCount(engine, "max_running") <= bound);
    BOOST_TEST(callers.wrongResponses() == 0);
}

BOOST_AUTO_TEST_CASE(requestThatCrashesEnginesIsSentToAtMostTwo)
{
    test_fleet fleet { {
        .daemons = 4,
        .engines = 5,
        .plains = 0,
        .engineArguments = { "--cold_limit=0", "--slots=8", "--first_token_ms=20", "--token_interval_ms=5", "--report_lag_ms=300" },
        .coldLimit = 8,
        .serverLimit = 8,
    } };
    BOOST_REQUIRE(fleet.isReady());
    for (const fleet_member& engine : fleet.engines())
        test_fleet::setFaults(engine.target, R"({"crash_on":"poison"})");
    std::this_thread::sleep_for(milliseconds { 1500 });
    chat_callers callers { callerAddressesOf(fleet), { .callers = 4 } };
    for (int attempt = 0; attempt < 8; ++attempt)
        fleet.chat(fleet.daemons()[static_cast<std::size_t>(attempt) % 4], "bad", "poison", 8);
    const http_call_reply last = fleet.chat(fleet.daemons()[1], "bad", "poison", 8);
    std::this_thread::sleep_for(milliseconds { 1500 });
    callers.stop();
    logResults(callers);
    BOOST_TEST(totalRecordedCount(fleet, "crashes") <= 2);
    BOOST_TEST(last.status == 422);
    BOOST_TEST(callers.wrongResponses() == 0);
    BOOST_TEST(callers.service().lastSecondBelow(0.5) < 0);
}

BOOST_AUTO_TEST_CASE(coldEngineOfAKilledOwnerReceivesRequestsAgain)
{
    test_fleet fleet { { .daemons = 3, .engines = 1, .plains = 0, .engineArguments = { "--cold_limit=2", "--report_lag_ms=500" } } };
    BOOST_REQUIRE(fleet.isReady());
    const auto state = Poco::JSON::Parser {}.parse(httpCall({ .url = "http://" + fleet.daemons()[0].http + "/debug/state" }).body).extract<Poco::JSON::Object::Ptr>();
    const std::string owner = state->getArray("servers")->getObject(0)->getValue<std::string>("owner");
    std::size_t other = 0;
    for (std::size_t index = 0; index < fleet.daemons().size(); ++index) {
        if (fleet.daemons()[index].name == owner)
            fleet.daemons()[index].process->signal(SIGKILL);
        else
            other = index;
    }
    // The lease expires after 3.75 s here; then the host's refusal and one load report prove that no request of the killed
    // owner is still running.
    BOOST_TEST(waitUntil(milliseconds { 14000 }, [&] { return fleet.chat(fleet.daemons()[other], "c", "again", 4).status == 200; }));
}
