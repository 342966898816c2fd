// Tests that a request that crashes the servers which run it reaches no further server, whichever daemon receives it and
// however the crash shows.
#include "radishflow/Relay/crash_quarantine.h"

#include "relay_fleet.h"
#include "test_request.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <future>
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
    std::chrono::milliseconds timeToCrash = 0ms; ///< Runs before the crash, also after the relay or the caller has disconnected.
    std::chrono::milliseconds callerPatience = 5000ms; ///< After which the caller disconnects.
};

std::ostream& operator<<(std::ostream& out, const crash_case& testCase) { return out << testCase.name; }

const crash_case crashes[] {
    { "before the response", "POST", "/order/crash", "a crashing body" },
    { "resent to another server", "POST", "/read/crash", "a crashing body" },
    { "without a body", "GET", "/read/crash", "" },
    { "in a stream", "POST", "/stream/crash", "a crashing body" },
    { "in a stream that is resumed", "POST", "/resumable-stream/crash", "a crashing body" },
};

// The relay waits for a response for 800 ms at most.
const crash_case unobservedCrashes[] {
    { "after the relay's timeout", "POST", "/order/crash", "a crashing body", 1000ms },
    { "after the caller left", "POST", "/order/crash", "a crashing body", 300ms, 100ms },
    { "after the caller left, without a body", "GET", "/read/crash", "", 300ms, 100ms },
};

void setBehaviour(relay_fleet& fleet, const server_behaviour& behaviour)
{
    for (int server = 0; server < fleet.servers(); ++server)
        fleet.server(server).setBehaviour(behaviour);
}

void setCrashing(relay_fleet& fleet, const char* path, std::chrono::milliseconds pause = 5ms)
{
    setBehaviour(fleet, { .kind = server_response_kind::Crash, .crashingTarget = path, .pause = pause });
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

// No connection of the request breaks, so the crash shows only when the server is listed with another process.
BOOST_DATA_TEST_CASE(crashingRequestIsRefusedThoughItsAttemptsEndedBeforeTheCrash, boost::unit_test::data::make(unobservedCrashes), testCase)
{
    relay_fleet fleet { { .daemons = 3, .servers = 6 } };
    setBehaviour(fleet, { .kind = server_response_kind::Crash, .crashingTarget = testCase.path, .timeToCrash = testCase.timeToCrash });
    for (int send = 0; send < maxCrashes; ++send) {
        httpCall({ .method = testCase.method, .url = "http://" + fleet.callerAddress(send % fleet.daemons()) + testCase.path, .headers = headersOf({ .id = "c" + std::to_string(send), .key = relay_fleet::key, .timeLeft = 5000ms }), .body = testCase.body, .timeout = testCase.callerPatience });
        std::this_thread::sleep_for(testCase.timeToCrash);
        awaitRestart(fleet);
    }
    std::this_thread::sleep_for(contactTime);
    sendToAll(fleet, testCase, 2);
    BOOST_TEST(runsOf(fleet, testCase.path) <= maxCrashes);
}

BOOST_AUTO_TEST_CASE(crashingRequestIsRefusedThoughAnotherCallersWithTheSameTargetIsServed)
{
    constexpr const char* path = "/read/shared";
    constexpr const char* crashingKey = "second-key-of-w";
    constexpr int sends = 9;
    relay_fleet fleet { { .daemons = 3, .servers = 6 } };
    fleet.configure({ .version = 2, .workspaceKey = relay_fleet::key, .secondKey = crashingKey });
    std::this_thread::sleep_for(1s);
    setBehaviour(fleet, { .kind = server_response_kind::Crash, .crashingTarget = path, .crashingIdPrefix = "crash" });
    int crashingRuns = 0;
    for (int send = 0; send < sends; ++send) {
        for (int daemon = 0; daemon < fleet.daemons(); ++daemon)
            BOOST_TEST(fleet.call(daemon, path).status == 200);
        const std::string id = "crash" + std::to_string(send);
        httpCall({ .url = "http://" + fleet.callerAddress(send % fleet.daemons()) + path, .headers = headersOf({ .id = id, .key = crashingKey, .timeLeft = 5000ms }) });
        awaitRestart(fleet);
    }
    for (int server = 0; server < fleet.servers(); ++server) {
        for (const received_request& received : fleet.server(server).seen())
            crashingRuns += received.id.starts_with("crash") ? 1 : 0;
    }
    BOOST_TEST(crashingRuns <= maxCrashes);
}

// Rows of a daemon that is cut off from the others, or has ended since, reach them through the store only.
BOOST_DATA_TEST_CASE(crashesThatAreInTheStoreOnlyReachAllDaemonsWithinContactTime, boost::unit_test::data::make({ 3, 20 }), daemons)
{
    relay_fleet fleet { { .daemons = daemons, .servers = 2 } };
    const std::string fingerprint = toHex(crash_quarantine::fingerprint(workspace_id { "w" }, crashes[0].path, crashes[0].body));
    for (const char* process : { "/i-8@1", "/i-9@1" })
        fleet.store().putCrash(fingerprint + process, {});
    std::this_thread::sleep_for(contactTime);
    for (int daemon = 0; daemon < daemons; ++daemon)
        BOOST_TEST(fleet.call(daemon, crashes[0].path, crashes[0].method, relay_fleet::key, crashes[0].body).status == 503);
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

// Guards against requests that hide behind a release: the servers which they crash are listed as draining meanwhile.
BOOST_AUTO_TEST_CASE(requestThatCrashesDrainingServersIsRefused)
{
    const crash_case& request = crashes[0];
    constexpr auto timeToCrash = 400ms;
    constexpr auto timeToDrain = 200ms;
    relay_fleet fleet { { .daemons = 3, .servers = 6 } };
    setBehaviour(fleet, { .kind = server_response_kind::Crash, .crashingTarget = request.path, .timeToCrash = timeToCrash });
    for (int send = 0; send < maxCrashes; ++send) {
        auto sent = std::async(std::launch::async, [&] { return fleet.call(send % fleet.daemons(), request.path, request.method, relay_fleet::key, request.body).status; });
        std::this_thread::sleep_for(timeToDrain);
        for (int server = 0; server < fleet.servers(); ++server) {
            const auto seen = fleet.server(server).seen();
            if (!seen.empty() && !seen.back().hasEnded)
                fleet.list(server, "draining");
        }
        sent.get();
        awaitRestart(fleet);
    }
    std::this_thread::sleep_for(contactTime);
    sendToAll(fleet, request, 2);
    BOOST_TEST(runsOf(fleet, request.path) <= maxCrashes);
}

namespace {

/// How servers announce that they leave.
enum class announcement {
    Drain, ///< Listed as draining.
    Removal, ///< The entry is removed.
    None, ///< The entry stays, as of a server that crashes.
};

struct announcement_case {
    const char* name;
    announcement kind;
    bool isTableLost; ///< The store answers no calls for the servers' table during the release.

    friend std::ostream& operator<<(std::ostream& out, const announcement_case& testCase) { return out << testCase.name; }
};

const announcement_case announcements[] {
    { "listed as draining", announcement::Drain, false },
    { "entry removed", announcement::Removal, false },
    { "listed as draining, read after the exits", announcement::Drain, true },
    { "entry removed, read after the exits", announcement::Removal, true },
};

/// Ends two servers one after the other, and checks that streams which both ends cut go on once their callers take them up.
void checkThatCutStreamsGoOn(const announcement_case& testCase)
{
    constexpr auto drainTime = 2300ms;
    constexpr int events = 120;
    constexpr int streams = 24;
    relay_fleet fleet { { .daemons = 2, .servers = 3, .behaviour = { .events = events, .pause = 50ms } } };
    if (!testCase.isTableLost)
        fleet.store().unlist("i-2");
    std::this_thread::sleep_for(3s); // The daemons take no part in the release yet.
    std::vector<std::future<received_response>> running;
    running.reserve(streams);
    const auto send = [&](int daemon, int stream, const std::string& id, const std::string& lastEvent) {
        return fleet.stream(daemon % 2, "/resumable-stream/" + std::to_string(stream), { .id = id, .key = relay_fleet::key, .timeLeft = 10s, .resumes = lastEvent.empty() ? std::string {} : id.substr(0, id.find('-')), .lastEventId = lastEvent });
    };
    for (int stream = 0; stream < streams; ++stream)
        running.push_back(std::async(std::launch::async, [&, stream] { return send(stream, stream, "s" + std::to_string(stream), {}); }));
    std::this_thread::sleep_for(300ms);
    if (testCase.isTableLost)
        fleet.store().setFault(store_fault::Busy, "servers");
    for (const int server : { 0, 1 }) {
        if (testCase.kind == announcement::Drain)
            fleet.list(server, "draining");
        else if (testCase.kind == announcement::Removal)
            fleet.store().unlist(fleet.server(server).id());
        if (server == 1)
            fleet.list(2);
        std::this_thread::sleep_for(drainTime);
        fleet.server(server).exit();
        if (testCase.kind != announcement::None)
            fleet.store().unlist(fleet.server(server).id());
    }
    fleet.store().setFault(store_fault::None);
    std::vector<std::future<received_response>> resumed;
    for (int stream = 0; stream < streams; ++stream) {
        const received_response first = running[static_cast<std::size_t>(stream)].get();
        if (first.isComplete || first.status != 200)
            continue;
        const auto received = std::count(first.body.begin(), first.body.end(), '\n') / 3; // An event has three lines.
        resumed.push_back(std::async(std::launch::async, [&, stream, received] { return send(stream + 1, stream, "s" + std::to_string(stream) + "-again", std::to_string(received)); }));
    }
    const auto wentOn = std::count_if(resumed.begin(), resumed.end(), [](auto& rest) { return rest.get().status == 200; });
    BOOST_TEST_MESSAGE(testCase.name << ": " << wentOn << " of " << resumed.size() << " streams went on");
    BOOST_TEST(!resumed.empty());
    BOOST_TEST(wentOn == std::ssize(resumed));
}

} // namespace

// Guards against refusals of streams that a rolling release of the servers has cut twice.
BOOST_DATA_TEST_CASE(streamsThatPlannedExitsOfServersCutGoOn, boost::unit_test::data::make(announcements), testCase)
{
    checkThatCutStreamsGoOn(testCase);
}

// Guards against refusals of streams that had run for seconds at two servers when these crashed.
BOOST_AUTO_TEST_CASE(streamsThatCrashesOfServersCutGoOn)
{
    checkThatCutStreamsGoOn({ "not announced", announcement::None, false });
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

// Guards against crashes that are never counted: no other server is left to show that the daemons' paths work, and the return of both
// looks like a zone that had lost power.
BOOST_AUTO_TEST_CASE(requestThatCrashesAllServersOfAZoneIsRefused)
{
    constexpr const char* path = "/read/crash";
    constexpr int comings = 7;
    constexpr auto interval = 4500ms;
    constexpr int maxLate = 3; ///< Sent later than the contact time after the third crash.
    relay_fleet fleet { { .daemons = 3, .servers = 2, .serverZone = "zb" } };
    setCrashing(fleet, path);
    std::chrono::steady_clock::time_point thirdCrashAt = std::chrono::steady_clock::time_point::max();
    int late = 0;
    for (int coming = 0; coming < comings; ++coming) {
        const auto sentAt = std::chrono::steady_clock::now();
        const int runsBefore = runsOf(fleet, path);
        fleet.call(coming % fleet.daemons(), path, "GET");
        awaitRestart(fleet);
        const int runs = runsOf(fleet, path);
        if (runs > runsBefore && sentAt - contactTime > thirdCrashAt)
            ++late;
        if (runs >= maxCrashes)
            thirdCrashAt = std::min(thirdCrashAt, sentAt);
        std::this_thread::sleep_until(sentAt + interval);
    }
    BOOST_TEST_MESSAGE(runsOf(fleet, path) << " crashes, " << late << " late");
    BOOST_TEST(late <= maxLate);
    const int runs = runsOf(fleet, path);
    BOOST_TEST(fleet.call(0, path, "GET").status == 503);
    BOOST_TEST(runsOf(fleet, path) == runs);
}
