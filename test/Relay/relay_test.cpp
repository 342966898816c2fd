// Tests the relay end to end: real daemons between callers and stand-ins of the users' platform.
#include "relay_fleet.h"
#include "test_request.h"

#include <Poco/Net/StreamSocket.h>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <csignal>
#include <future>
#include <ostream>
#include <thread>

using namespace radishflow;
using namespace std::chrono_literals;

static const std::string expectedEvents(int from, int to)
{
    std::string text;
    for (int event = from; event <= to; ++event)
        text += "id: " + std::to_string(event) + "|data: token " + std::to_string(event) + "||";
    return text;
}

static std::string joinLines(const std::vector<std::string>& lines)
{
    std::string text;
    for (const std::string& line : lines)
        text += line + '|';
    return text;
}

BOOST_AUTO_TEST_CASE(requestsGetCompleteResponsesAndKeysAreNotForwarded)
{
    relay_fleet fleet;
    const http_call_reply reply = fleet.call(0, "/order/a?b=c", "POST", relay_fleet::key, "a valve");
    BOOST_TEST(reply.status == 200);
    BOOST_TEST(reply.body.starts_with("answer of i-"));
    BOOST_TEST(reply.headers.at(signatureField) == "seal-of-" + reply.body.substr(10));
    BOOST_TEST(fleet.runs() == 1);
    for (int server = 0; server < 3; ++server) {
        for (const received_request& seen : fleet.server(server).seen()) {
            BOOST_TEST(seen.target == "/order/a?b=c");
            BOOST_TEST(seen.body == "a valve");
            BOOST_TEST(seen.workspace == "w");
            BOOST_TEST(seen.key.empty());
        }
    }
    BOOST_TEST(fleet.call(0, "/read/a", "GET", "other").status == 401);
    BOOST_TEST(fleet.call(0, "/none/a").status == 404);
    BOOST_TEST(fleet.call(0, "/public/a", "GET", "").status == 200);
    BOOST_TEST(fleet.call(0, "/order/a", "POST", relay_fleet::key, std::string(100001, 'x')).status == 413);
    const auto [events, isComplete] = fleet.stream(1, "/stream/a");
    BOOST_TEST(isComplete);
    BOOST_TEST(joinLines(events) == expectedEvents(1, 5));
}

namespace radishflow {

static std::ostream& operator<<(std::ostream& out, server_response_kind kind) { return out << static_cast<int>(kind); }

} // namespace radishflow

namespace {

/// How all servers fail, and what the caller of a route gets.
struct failure_case {
    const char* name;
    server_response_kind kind;
    const char* path;
    int status; ///< Expected status; 0 for a stream that breaks off.
    int maxRuns; ///< Maximum number of runs of the request at all servers together.
};

std::ostream& operator<<(std::ostream& out, const failure_case& testCase) { return out << testCase.name << ' ' << testCase.path; }

const failure_case failures[] {
    { "refused", server_response_kind::NotRun, "/order/a", 503, 0 },
    { "refused", server_response_kind::NotRun, "/read/a", 503, 0 },
    { "failed", server_response_kind::Failure, "/order/a", 500, 1 },
    { "failed", server_response_kind::Failure, "/read/a", 500, 2 },
    { "cut", server_response_kind::Cut, "/order/a", 502, 1 },
    { "cut", server_response_kind::Cut, "/read/a", 502, 2 },
    { "cut", server_response_kind::Cut, "/stream/a", 0, 1 },
    { "silent", server_response_kind::Silent, "/order/a", 504, 1 },
};

} // namespace

BOOST_DATA_TEST_CASE(serverFailuresAreReportedToCallers, boost::unit_test::data::make(failures), testCase)
{
    relay_fleet fleet { { .daemons = 1 } };
    for (int server = 0; server < 3; ++server)
        fleet.server(server).setBehaviour({ .kind = testCase.kind });
    const auto began = std::chrono::steady_clock::now();
    if (testCase.status == 0) {
        const auto [events, isComplete] = fleet.stream(0, testCase.path);
        BOOST_TEST(!isComplete);
        BOOST_TEST(joinLines(events).starts_with(expectedEvents(1, 2)));
    } else {
        const http_call_reply reply = fleet.call(0, testCase.path, std::string { testCase.path }.starts_with("/order") ? "POST" : "GET");
        BOOST_TEST(reply.status == testCase.status);
        BOOST_TEST(reply.headers.contains("retry-after") == (testCase.status == 503));
        BOOST_TEST(reply.headers.contains(signatureField) == (testCase.status == 500));
    }
    BOOST_TEST((std::chrono::steady_clock::now() - began < 1300ms));
    BOOST_TEST(fleet.runs() <= testCase.maxRuns);
}

BOOST_AUTO_TEST_CASE(brokenResumableStreamContinuesAtAnotherServer)
{
    relay_fleet fleet { { .daemons = 1, .servers = 2 } };
    // The daemon has no share of the retry budget before it has read the list of daemons and refreshed its view of the fleet.
    BOOST_REQUIRE(waitUntil(5s, [&] { return fleet.store().isAnnounced("d0"); }));
    std::this_thread::sleep_for(1s);
    for (int round = 0; round < 6; ++round) {
        fleet.server(round % 2).setBehaviour({ .kind = server_response_kind::Cut });
        fleet.server(1 - round % 2).setBehaviour({});
        const auto [events, isComplete] = fleet.stream(0, "/resumable-stream/a");
        BOOST_TEST(isComplete);
        BOOST_TEST(joinLines(events) == expectedEvents(1, 5));
    }
}

// Daemon 1 observed no crash itself: it has to refuse the request from the crash records that daemon 0 publishes.
BOOST_AUTO_TEST_CASE(requestThatCrashesServersIsRefusedByAllDaemons)
{
    relay_fleet fleet { { .daemons = 2 } };
    for (int server = 0; server < 3; ++server)
        fleet.server(server).setBehaviour({ .kind = server_response_kind::Crash });
    for (int request = 0; request < 2; ++request)
        BOOST_TEST(fleet.call(0, "/order/a", "POST", relay_fleet::key, "a crashing body").status == 502);
    std::this_thread::sleep_for(1s);
    const int runs = fleet.runs();
    BOOST_TEST(runs == 2);
    for (int daemon = 0; daemon < 2; ++daemon) {
        const http_call_reply refused = fleet.call(daemon, "/order/a", "POST", relay_fleet::key, "a crashing body");
        BOOST_TEST(refused.status == 503);
        BOOST_TEST(refused.headers.contains("retry-after"));
    }
    BOOST_TEST(fleet.runs() == runs);
    for (int server = 0; server < 3; ++server)
        fleet.server(server).setBehaviour({});
    BOOST_TEST(fleet.call(1, "/order/a", "POST", relay_fleet::key, "another body").status == 200);
}

BOOST_AUTO_TEST_CASE(requestWhoseResponsesAreCutIsNotQuarantined)
{
    relay_fleet fleet { { .daemons = 1 } };
    for (int server = 0; server < 3; ++server)
        fleet.server(server).setBehaviour({ .kind = server_response_kind::Cut });
    for (int request = 0; request < 4; ++request)
        BOOST_TEST(fleet.call(0, "/order/a", "POST", relay_fleet::key, "an unlucky body").status == 502);
    BOOST_TEST(fleet.runs() == 4);
}

// HTTP/1.0 has no chunked encoding, so a caller couldn't distinguish a broken stream from a complete one.
BOOST_AUTO_TEST_CASE(streamsAreRefusedOverHttp10)
{
    relay_fleet fleet { { .daemons = 1, .servers = 1 } };
    const auto statusLineOf = [&](const std::string& path) {
        Poco::Net::StreamSocket socket { Poco::Net::SocketAddress { fleet.callerAddress(0) } };
        const std::string request = writeRequestHead("GET " + path + " HTTP/1.0", { .id = "old", .key = relay_fleet::key }, false);
        socket.sendBytes(request.data(), static_cast<int>(request.size()));
        std::string received(12, ' ');
        socket.receiveBytes(received.data(), static_cast<int>(received.size()));
        return received;
    };
    BOOST_TEST(statusLineOf("/stream/a") == "HTTP/1.1 505");
    BOOST_TEST(fleet.runs() == 0);
    BOOST_TEST(statusLineOf("/read/a") == "HTTP/1.1 200");
}

BOOST_AUTO_TEST_CASE(disconnectOfCallerCancelsRequestAtServer)
{
    relay_fleet fleet { { .daemons = 1, .servers = 1 } };
    fleet.server(0).setBehaviour({ .events = 1000, .pause = 20ms });
    int count = 0;
    httpStream({ .url = "http://" + fleet.callerAddress(0) + "/stream/a", .headers = headersOf({ .id = "leaver", .key = relay_fleet::key }) },
        [&](std::string_view) { return ++count < 6; });
    BOOST_TEST(waitUntil(500ms, [&] { return fleet.server(0).seen().front().hasEnded; }));
    BOOST_TEST(fleet.server(0).seen().front().wasCancelled);
}

BOOST_AUTO_TEST_CASE(configurationsReachAllDaemonsAndNeverRevert)
{
    relay_fleet fleet { { .daemons = 3 } };
    fleet.configure(5, relay_fleet::key, "read");
    for (int daemon = 0; daemon < 3; ++daemon)
        BOOST_TEST(waitUntil(2s, [&] { return fleet.call(daemon, "/read/a").status == 404; }));
    fleet.store().dropHistory();
    fleet.configure(4);
    std::this_thread::sleep_for(500ms);
    for (int daemon = 0; daemon < 3; ++daemon)
        BOOST_TEST(fleet.call(daemon, "/read/a").status == 404);
    fleet.configure(6, "new-key");
    for (int daemon = 0; daemon < 3; ++daemon) {
        BOOST_TEST(waitUntil(2s, [&] { return fleet.call(daemon, "/read/a", "GET", "new-key").status == 200; }));
        BOOST_TEST(fleet.call(daemon, "/read/a").status == 401);
    }
}

namespace {

struct outage_case {
    const char* name;
    store_fault fault;
    bool isUnreachable;
};

std::ostream& operator<<(std::ostream& out, const outage_case& testCase) { return out << testCase.name; }

const outage_case outages[] {
    { "busy", store_fault::Busy, false },
    { "silent", store_fault::Silent, false },
    { "replies lost", store_fault::ReplyLost, false },
    { "unreachable", store_fault::None, true },
};

} // namespace

// Without the store, keys are accepted until maxRevocationDelay has passed, because they may have been revoked since. They are
// then refused with Retry-After, while public routes stay available.
BOOST_DATA_TEST_CASE(keysAreRefusedAfterRevocationDelayWithoutStore, boost::unit_test::data::make(outages), testCase)
{
    relay_fleet fleet { { .daemons = 1 } };
    fleet.store().setFault(testCase.fault);
    if (testCase.isUnreachable)
        fleet.store().setUnreachable(true);
    const auto began = std::chrono::steady_clock::now();
    BOOST_TEST(fleet.call(0, "/read/a").status == 200);
    std::this_thread::sleep_until(began + relay_fleet::maxRevocationDelay);
    const http_call_reply refused = fleet.call(0, "/read/a");
    BOOST_TEST(refused.status == 503);
    BOOST_TEST(refused.headers.contains("retry-after"));
    BOOST_TEST(fleet.call(0, "/read/a", "GET", "other").status == 503);
    BOOST_TEST(fleet.call(0, "/none/a").status == 503);
    BOOST_TEST(fleet.call(0, "/public/a").status == 200);
    fleet.store().setFault(store_fault::None);
    fleet.store().setUnreachable(false);
    BOOST_TEST(waitUntil(4s, [&] { return fleet.call(0, "/read/a").status == 200; }));
}

// A long poll of an unchanged table takes longer than maxRevocationDelay of this fleet; the daemon must confirm its
// configuration in the meantime.
BOOST_AUTO_TEST_CASE(daemonStaysReadyWhileNothingChanges)
{
    relay_fleet fleet { { .daemons = 1 } };
    BOOST_TEST(!fleet.waitReady(0, false, 5s));
}

BOOST_AUTO_TEST_CASE(drainingServersAndZonesOutOfServiceGetNoNewRequests)
{
    relay_fleet fleet { { .daemons = 2 } };
    fleet.list(1, "draining");
    fleet.store().setZoneOutOfService("za", true);
    std::this_thread::sleep_for(1s);
    const int before = fleet.server(0).runs() + fleet.server(1).runs();
    for (int request = 0; request < 20; ++request)
        BOOST_TEST(fleet.call(request % 2, "/read/a").status == 200);
    BOOST_TEST(fleet.server(0).runs() + fleet.server(1).runs() == before);
    BOOST_TEST(fleet.server(2).runs() >= 20);
    fleet.store().setZoneOutOfService("za", false);
    BOOST_TEST(waitUntil(3s, [&] { return fleet.call(0, "/read/a").status == 200 && fleet.server(0).runs() > 0; }));
}

BOOST_DATA_TEST_CASE(serverThatSaysItLeavesGetsNoNewRequestsFromThatDaemon, boost::unit_test::data::make({ server_response_kind::Complete, server_response_kind::Failure, server_response_kind::NotRun }), kind)
{
    relay_fleet fleet { { .daemons = 1 } };
    fleet.server(0).setBehaviour({ .kind = kind, .isLeaving = true }); // Of the daemon's own zone, which it prefers.
    const auto seenByLeaving = [&] { return fleet.server(0).seen().size(); };
    BOOST_REQUIRE(waitUntil(5s, [&] {
        fleet.call(0, "/read/a");
        return seenByLeaving() > 0;
    }));
    const std::size_t before = seenByLeaving();
    fleet.list(0); // Its entry may still say that it is ready.
    for (int request = 0; request < 20; ++request)
        BOOST_TEST(fleet.call(0, "/read/a").status == 200);
    BOOST_TEST(seenByLeaving() == before);
}

BOOST_AUTO_TEST_CASE(serversThatAskForAPauseGetNoRequestsUntilItEnds)
{
    constexpr auto pause = 2500ms;
    constexpr std::size_t maxRequestsPerServer = 3; // The one that was refused, and the platform's limit for the time until its end.
    relay_fleet fleet { { .daemons = 1 } };
    for (int server = 0; server < 3; ++server)
        fleet.server(server).setBehaviour({ .kind = server_response_kind::NotRun, .retryAfter = "2.5" });
    const auto began = std::chrono::steady_clock::now();
    fleet.call(0, "/read/a");
    while (std::chrono::steady_clock::now() - began < pause - 100ms) {
        const http_call_reply refused = fleet.call(0, "/read/a");
        BOOST_TEST(refused.status == 503);
        BOOST_TEST(refused.headers.contains("retry-after"));
        std::this_thread::sleep_for(20ms);
    }
    for (int server = 0; server < 3; ++server) {
        BOOST_TEST(fleet.server(server).seen().size() <= maxRequestsPerServer);
        fleet.server(server).setBehaviour({});
    }
    BOOST_TEST(waitUntil(1s, [&] { return fleet.call(0, "/read/a").status == 200; }));
}

BOOST_AUTO_TEST_CASE(entriesThatLapseDuringStoreOutageAreListedAgain)
{
    relay_fleet fleet { { .daemons = 1 } };
    fleet.store().setUnreachable(true);
    for (int server = 0; server < 3; ++server)
        fleet.store().unlist(fleet.server(server).id());
    std::this_thread::sleep_for(1500ms);
    fleet.store().setUnreachable(false);
    BOOST_REQUIRE(fleet.waitReady(0));
    std::thread servers { [&] {
        std::this_thread::sleep_for(1200ms);
        for (int server = 0; server < 2; ++server)
            fleet.list(server);
    } };
    const auto end = std::chrono::steady_clock::now() + 4s;
    while (std::chrono::steady_clock::now() < end) {
        BOOST_TEST(fleet.call(0, "/read/a").status == 200);
        std::this_thread::sleep_for(50ms);
    }
    servers.join();
    const int before = fleet.server(2).runs();
    for (int request = 0; request < 10; ++request)
        BOOST_TEST(fleet.call(0, "/read/a").status == 200);
    BOOST_TEST(fleet.server(2).runs() == before);
}

BOOST_AUTO_TEST_CASE(coldServersGetLimitedRequestRate)
{
    constexpr int maxRequestsPerSecond = 20; // The cold rate of 10, times the platform's factor of 1.5, plus its slack of 5.
    relay_fleet fleet { { .daemons = 3, .servers = 1 } };
    fleet.list(0, "ready", 60000);
    std::this_thread::sleep_for(1s);
    const int before = fleet.runs();
    std::vector<std::thread> callers;
    callers.reserve(9);
    for (int caller = 0; caller < 9; ++caller) {
        callers.emplace_back([&, caller] {
            const auto end = std::chrono::steady_clock::now() + 3s;
            while (std::chrono::steady_clock::now() < end)
                httpCall({ .url = "http://" + fleet.callerAddress(caller % 3) + "/read/a", .headers = headersOf({ .id = "cold", .key = relay_fleet::key }) });
        });
    }
    for (std::thread& caller : callers)
        caller.join();
    const auto seen = fleet.server(0).seen();
    std::size_t begin = static_cast<std::size_t>(before);
    for (std::size_t end = begin; end < seen.size(); ++end) {
        while (seen[end].at - seen[begin].at >= 1s)
            ++begin;
        BOOST_TEST(end - begin + 1 <= static_cast<std::size_t>(maxRequestsPerSecond));
    }
    BOOST_TEST(fleet.runs() - before >= 20);
}

// Guards against daemons that take the whole rate of a cold server, since each knows no other one yet.
BOOST_AUTO_TEST_CASE(coldServersGetLimitedRequestRateWhileAllDaemonsStart)
{
    constexpr int daemons = 8;
    constexpr int callersPerDaemon = 2;
    constexpr std::size_t maxRequestsPerSecond = 20; // As above.
    relay_fleet fleet { { .daemons = daemons, .servers = 1 } };
    for (int daemon = 0; daemon < daemons; ++daemon) {
        fleet.daemon(daemon).signal(SIGKILL);
        fleet.daemon(daemon).wait(1s);
    }
    fleet.list(0, "ready", 60000);
    const auto before = fleet.server(0).seen().size();
    for (int daemon = 0; daemon < daemons; ++daemon)
        fleet.restart(daemon);
    std::vector<std::thread> callers;
    callers.reserve(daemons * callersPerDaemon);
    for (int caller = 0; caller < daemons * callersPerDaemon; ++caller) {
        callers.emplace_back([&, caller] {
            const auto end = std::chrono::steady_clock::now() + 4s;
            for (int number = 0; std::chrono::steady_clock::now() < end; ++number) {
                httpCall({ .url = "http://" + fleet.callerAddress(caller % daemons) + "/read/a", .headers = headersOf({ .id = "c" + std::to_string(caller) + '-' + std::to_string(number), .key = relay_fleet::key }) });
                std::this_thread::sleep_for(2ms);
            }
        });
    }
    for (std::thread& caller : callers)
        caller.join();
    const auto seen = fleet.server(0).seen();
    std::size_t most = 0;
    for (std::size_t begin = before, end = before; end < seen.size(); ++end) {
        while (seen[end].at - seen[begin].at >= 1s)
            ++begin;
        most = std::max(most, end - begin + 1);
    }
    BOOST_TEST_MESSAGE(seen.size() - before << " requests, at most " << most << " in one second");
    BOOST_TEST(most <= maxRequestsPerSecond);
    BOOST_TEST(seen.size() - before >= 20U);
}

BOOST_AUTO_TEST_CASE(plannedStopCompletesRunningRequests)
{
    relay_fleet fleet { { .daemons = 2 } };
    for (int server = 0; server < 3; ++server)
        fleet.server(server).setBehaviour({ .events = 100, .pause = 15ms });
    auto running = std::async(std::launch::async, [&] { return fleet.stream(0, "/stream/a"); });
    std::this_thread::sleep_for(200ms);
    fleet.daemon(0).signal(SIGTERM);
    BOOST_TEST(fleet.waitReady(0, false, 500ms));
    BOOST_TEST(waitUntil(2s, [&] { return fleet.lookUp(1).size() == 1 && fleet.lookUp(1).front() == fleet.callerAddress(1); }));
    const http_call_reply late = fleet.call(0, "/read/a");
    BOOST_TEST(late.status == 200);
    BOOST_TEST(late.headers.at("connection") == "close");
    const auto [events, isComplete] = running.get();
    BOOST_TEST(isComplete);
    BOOST_TEST(joinLines(events) == expectedEvents(1, 100));
    BOOST_TEST(fleet.daemon(0).wait(relay_fleet::stopGrace).value_or(-1) == 0);
    BOOST_TEST(!fleet.store().isAnnounced("d0"));
}

BOOST_AUTO_TEST_CASE(plannedStopCutsNoOrderThatItAccepted)
{
    constexpr auto timeLeft = 3s;
    constexpr auto callInterval = 100ms;
    relay_fleet fleet { { .daemons = 1, .behaviour = { .pause = 2s } } };
    fleet.configure({ .version = 2, .workspaceKey = relay_fleet::key, .orderTimeout = timeLeft });
    std::this_thread::sleep_for(500ms);
    fleet.daemon(0).signal(SIGTERM);
    std::vector<std::future<int>> statuses;
    for (int number = 0; number < 30; ++number) {
        statuses.push_back(std::async(std::launch::async, [&, number] { return httpCall({ .method = "POST", .url = "http://" + fleet.callerAddress(0) + "/order/a", .headers = headersOf({ .id = "o" + std::to_string(number), .key = relay_fleet::key, .timeLeft = timeLeft }) }).status; }));
        std::this_thread::sleep_for(callInterval);
    }
    int served = 0;
    int refused = 0;
    for (auto& status : statuses) {
        const int received = status.get();
        served += received == 200 ? 1 : 0;
        refused += received == 503 ? 1 : 0;
    }
    BOOST_TEST_MESSAGE(served << " served, " << refused << " refused of " << statuses.size());
    BOOST_TEST(served > 0);
    BOOST_TEST(served == fleet.runs());
    BOOST_TEST(served + refused == static_cast<int>(statuses.size()));
}

BOOST_AUTO_TEST_CASE(plannedStopEndsInTimeThoughItsOutputIsNotRead)
{
    constexpr int lines = 400; // Each longer than 400 bytes, so that together they exceed the capacity of a pipe.
    relay_fleet fleet { { .daemons = 1 } };
    for (int number = 0; number < lines; ++number)
        fleet.call(0, "/unknown/a");
    fleet.daemon(0).signal(SIGTERM);
    BOOST_TEST(fleet.daemon(0).wait(relay_fleet::stopGrace).value_or(-1) == 0);
}

BOOST_AUTO_TEST_CASE(killedDaemonLeavesLookupsUntilRestart)
{
    relay_fleet fleet { { .daemons = 3 } };
    fleet.daemon(2).signal(SIGKILL);
    BOOST_TEST(waitUntil(6s, [&] { return fleet.lookUp(0).size() == 2 && fleet.lookUp(1).size() == 2; }));
    fleet.restart(2);
    BOOST_TEST(fleet.waitReady(2));
    BOOST_TEST(waitUntil(10s, [&] { return fleet.lookUp(0).size() == 3 && fleet.lookUp(1).size() == 3; }));
}

// Guards against a directory that names lost daemons for good, as the last one takes the silence of all others for its own partition.
BOOST_AUTO_TEST_CASE(lastDaemonNamesNoLostOnes)
{
    constexpr auto noticeTime = 6s;
    relay_fleet fleet { { .daemons = 3 } };
    for (const int daemon : { 1, 2 })
        fleet.daemon(daemon).signal(SIGKILL);
    for (const int daemon : { 1, 2 })
        fleet.daemon(daemon).wait(1s);
    BOOST_TEST(waitUntil(noticeTime, [&] { return fleet.lookUp(0) == std::vector { fleet.callerAddress(0) }; }));
    std::this_thread::sleep_for(2s);
    BOOST_TEST((fleet.lookUp(0) == std::vector { fleet.callerAddress(0) }));
    fleet.restart(1);
    BOOST_TEST(waitUntil(10s, [&] { return fleet.lookUp(0).size() >= 2U; }));
    BOOST_TEST(fleet.call(0, "/read/a").status == 200);
}
