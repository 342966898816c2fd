// Tests that a request that crashes the servers which run it reaches no further server, whichever daemon receives it and
// however the crash shows.
#include "relay_fleet.h"
#include "test_request.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <atomic>
#include <csignal>
#include <ostream>
#include <thread>
#include <vector>

using namespace radishflow;
using namespace std::chrono_literals;

namespace {

constexpr int maxCrashes = 3; ///< Crashes after which the platform limits how often the request may still be sent.
constexpr auto contactTime = 3000ms; ///< Time after the last allowed crash from which the platform counts sends.
constexpr auto crashLength = 400ms; ///< Longer than a stand-in refuses connections after a crash.

/// How a request crashes the servers that run it.
struct crash_case {
    const char* name;
    const char* method;
    const char* path;
    const char* body;
};

std::ostream& operator<<(std::ostream& out, const crash_case& testCase) { return out << testCase.name; }

const crash_case crashes[] {
    { "before the response", "POST", "/order/crash", "a crashing body" },
    { "resent to another server", "POST", "/read/crash", "a crashing body" },
    { "without a body", "GET", "/read/crash", "" },
    { "in a stream", "POST", "/stream/crash", "a crashing body" },
    { "in a stream that is resumed", "POST", "/resumable-stream/crash", "a crashing body" },
};

void setCrashing(relay_fleet& fleet, const char* path, std::chrono::milliseconds pause = 5ms)
{
    for (int server = 0; server < fleet.servers(); ++server)
        fleet.server(server).setBehaviour({ .kind = server_response_kind::Crash, .crashingTarget = path, .pause = pause });
}

int runsOf(relay_fleet& fleet, const char* path)
{
    int runs = 0;
    for (int server = 0; server < fleet.servers(); ++server) {
        for (const received_request& received : fleet.server(server).seen())
            runs += received.target == path ? 1 : 0;
    }
    return runs;
}

/// Waits until all servers accept connections again, and lists the processes that have started.
void awaitRestart(relay_fleet& fleet)
{
    std::this_thread::sleep_for(crashLength);
    for (int server = 0; server < fleet.servers(); ++server)
        fleet.list(server);
}

/// Sends the request to the daemons in turn until it has crashed at least `count` servers or been sent twice as often.
void crashServers(relay_fleet& fleet, const crash_case& request, int count, int daemons)
{
    for (int send = 0; send < 2 * count && runsOf(fleet, request.path) < count; ++send) {
        fleet.call(send % daemons, request.path, request.method, relay_fleet::key, request.body);
        awaitRestart(fleet);
    }
}

void sendToAll(relay_fleet& fleet, const crash_case& request, int rounds)
{
    for (int round = 0; round < rounds; ++round) {
        for (int daemon = 0; daemon < fleet.daemons(); ++daemon) {
            BOOST_TEST(fleet.call(daemon, request.path, request.method, relay_fleet::key, request.body).status == 503);
            awaitRestart(fleet);
        }
    }
}

} // namespace

BOOST_DATA_TEST_CASE(crashingRequestIsRefusedHoweverTheCrashShows, boost::unit_test::data::make(crashes), testCase)
{
    relay_fleet fleet { { .daemons = 3, .servers = 6 } };
    setCrashing(fleet, testCase.path);
    crashServers(fleet, testCase, maxCrashes, fleet.daemons());
    std::this_thread::sleep_for(contactTime);
    sendToAll(fleet, testCase, 2);
    BOOST_TEST(runsOf(fleet, testCase.path) <= maxCrashes);
}

BOOST_AUTO_TEST_CASE(crashingRequestIsNotResentOnceItIsQuarantined)
{
    constexpr int crashesToQuarantine = 2;
    relay_fleet fleet { { .daemons = 1, .servers = 3 } };
    setCrashing(fleet, crashes[1].path);
    fleet.store().unlist("i-1");
    fleet.store().unlist("i-2");
    std::this_thread::sleep_for(1s);
    fleet.call(0, crashes[1].path, crashes[1].method, relay_fleet::key, crashes[1].body);
    BOOST_TEST(runsOf(fleet, crashes[1].path) == 1);
    awaitRestart(fleet);
    std::this_thread::sleep_for(2s);
    BOOST_TEST(fleet.call(0, crashes[1].path, crashes[1].method, relay_fleet::key, crashes[1].body).status == 502);
    BOOST_TEST(runsOf(fleet, crashes[1].path) == crashesToQuarantine);
}

BOOST_AUTO_TEST_CASE(restartedDaemonsStillRefuseCrashingRequest)
{
    relay_fleet fleet { { .daemons = 2, .servers = 6 } };
    setCrashing(fleet, crashes[0].path);
    crashServers(fleet, crashes[0], maxCrashes, fleet.daemons());
    std::this_thread::sleep_for(1s);
    for (int daemon = 0; daemon < fleet.daemons(); ++daemon) {
        fleet.daemon(daemon).signal(SIGKILL);
        fleet.daemon(daemon).wait(1s);
    }
    for (int daemon = 0; daemon < fleet.daemons(); ++daemon)
        fleet.restart(daemon);
    for (int daemon = 0; daemon < fleet.daemons(); ++daemon)
        BOOST_REQUIRE(fleet.waitReady(daemon));
    sendToAll(fleet, crashes[0], 2);
    BOOST_TEST(runsOf(fleet, crashes[0].path) <= maxCrashes);
}

// Each crash also breaks many requests that did not cause it, so a daemon has more records than fit into one datagram.
BOOST_AUTO_TEST_CASE(crashingRequestIsRefusedAmongManyThatTheCrashesBreak)
{
    constexpr int bystanders = 80;
    relay_fleet fleet { { .daemons = 2, .servers = 2 } };
    setCrashing(fleet, crashes[0].path, 600ms);
    for (int crash = 0; crash < maxCrashes && (fleet.server(0).runs() == 0 || runsOf(fleet, crashes[0].path) < 2); ++crash) {
        std::vector<std::thread> callers;
        callers.reserve(bystanders);
        for (int caller = 0; caller < bystanders; ++caller) {
            callers.emplace_back([&, id = "b" + std::to_string(crash * bystanders + caller)] {
                httpCall({ .method = "POST", .url = "http://" + fleet.callerAddress(0) + "/order/bystander", .headers = headersOf({ .id = id, .key = relay_fleet::key }), .body = id });
            });
        }
        std::this_thread::sleep_for(300ms);
        fleet.call(0, crashes[0].path, crashes[0].method, relay_fleet::key, crashes[0].body);
        for (std::thread& caller : callers)
            caller.join();
        awaitRestart(fleet);
    }
    const int before = runsOf(fleet, crashes[0].path);
    std::this_thread::sleep_for(contactTime);
    BOOST_TEST(fleet.call(1, crashes[0].path, crashes[0].method, relay_fleet::key, crashes[0].body).status == 503);
    BOOST_TEST(runsOf(fleet, crashes[0].path) == before);
}

// The request returns throughout the day, at intervals longer than its callers' deadlines.
BOOST_AUTO_TEST_CASE(crashingRequestThatReturnsLateIsRefused)
{
    constexpr auto returnInterval = 11s;
    relay_fleet fleet { { .daemons = 2, .servers = 6 } };
    setCrashing(fleet, crashes[0].path);
    crashServers(fleet, crashes[0], maxCrashes, fleet.daemons());
    for (int round = 0; round < 3; ++round) {
        std::this_thread::sleep_for(returnInterval);
        sendToAll(fleet, crashes[0], 1);
    }
    BOOST_TEST(runsOf(fleet, crashes[0].path) <= maxCrashes);
}

// A popular request without a body is in flight at most crashes of its servers without causing any.
BOOST_AUTO_TEST_CASE(popularRequestWithoutBodySurvivesCrashesOfItsServers)
{
    relay_fleet fleet { { .daemons = 2, .servers = 6 } };
    constexpr int bystanders = 48;
    setCrashing(fleet, crashes[0].path, 50ms);
    std::atomic<bool> isStopping = false;
    std::vector<std::thread> callers;
    callers.reserve(bystanders);
    for (int caller = 0; caller < bystanders; ++caller) {
        callers.emplace_back([&, caller] {
            while (!isStopping)
                httpCall({ .url = "http://" + fleet.callerAddress(caller % 2) + "/read/popular", .headers = headersOf({ .id = "p", .key = relay_fleet::key }) });
        });
    }
    std::this_thread::sleep_for(500ms);
    for (const char* body : { "one", "two", "three", "four" }) {
        fleet.call(0, crashes[0].path, crashes[0].method, relay_fleet::key, body);
        awaitRestart(fleet);
    }
    isStopping = true;
    for (std::thread& caller : callers)
        caller.join();
    std::this_thread::sleep_for(1s);
    for (int daemon = 0; daemon < fleet.daemons(); ++daemon)
        BOOST_TEST(fleet.call(daemon, "/read/popular").status == 200);
}
