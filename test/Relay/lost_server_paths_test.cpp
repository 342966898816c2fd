// Tests that daemons which lose the path to all backend servers serve their callers through other daemons.
#include "relay_fleet.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <functional>
#include <map>
#include <mutex>
#include <ostream>
#include <set>
#include <string>
#include <thread>
#include <vector>

using namespace radishflow;
using namespace std::chrono_literals;

namespace {

using steady_time = std::chrono::steady_clock::time_point;

constexpr auto contactTime = 3s; ///< The platform's rule holds from this time after the cut.
constexpr auto cutTime = 7s;
constexpr double minShareRatio = 2.0 / 3; ///< Of the share served at the cut daemons to that at the others.

struct cut_case {
    const char* name;
    int daemons;
    std::set<int> cut;
    path_state state;

    friend std::ostream& operator<<(std::ostream& out, const cut_case& testCase) { return out << testCase.name; }
};

const cut_case zoneCuts[] {
    { "a zone of six daemons hangs", 6, { 0, 1 }, path_state::Hanging },
    { "a zone of six daemons is reset", 6, { 0, 1 }, path_state::Reset },
    { "one daemon hangs", 6, { 2 }, path_state::Hanging },
    { "most daemons are reset", 6, { 0, 1, 2, 3 }, path_state::Reset },
};

// Cuts in which most servers' connections are in use when new ones are refused, and cuts that follow each other.
const cut_case repeatedCuts[] {
    { "three of seven daemons keep their connections only", 7, { 0, 2, 4 }, path_state::KeptOnly },
    { "three of seven daemons hang", 7, { 0, 2, 4 }, path_state::Hanging },
    { "three of seven daemons are reset", 7, { 1, 3, 5 }, path_state::Reset },
};

struct sample {
    int daemon = 0;
    steady_time beganAt;
    bool isServed = false;
};

/// Sends requests of all kinds to daemons until it is destroyed, each with an id of its own.
class caller_load {
public:
    caller_load(relay_fleet& fleet, int callersPerDaemon, const std::set<int>& daemons)
        : m_fleet(fleet)
    {
        for (const int daemon : daemons) {
            for (int caller = 0; caller < callersPerDaemon; ++caller)
                m_threads.emplace_back([this, daemon, caller] { run(daemon, caller); });
        }
    }

    ~caller_load() { stop(); }

    void stop()
    {
        m_isStopping = true;
        for (std::thread& thread : m_threads)
            thread.join();
        m_threads.clear();
    }

    /// Returns the share of the requests that were served, of those which began within the time at the daemons.
    double servedShare(steady_time from, steady_time to, const std::set<int>& daemons)
    {
        const std::lock_guard lock { m_mutex };
        int served = 0;
        int all = 0;
        for (const sample& seen : m_samples) {
            if (seen.beganAt < from || seen.beganAt >= to || !daemons.contains(seen.daemon))
                continue;
            ++all;
            served += seen.isServed ? 1 : 0;
        }
        BOOST_TEST_MESSAGE("  served " << served << " of " << all);
        BOOST_REQUIRE(all > 0);
        return static_cast<double>(served) / all;
    }

private:
    void run(int daemon, int caller)
    {
        static constexpr const char* paths[] { "/read/a", "/order/a", "/resumable-stream/a" };
        for (int number = 0; !m_isStopping; ++number) {
            const std::size_t kind = static_cast<std::size_t>(number + caller) % std::size(paths);
            const test_request request { .id = "c" + std::to_string(daemon) + '-' + std::to_string(caller) + '-' + std::to_string(number), .key = relay_fleet::key, .timeLeft = 4s };
            sample result { .daemon = daemon, .beganAt = std::chrono::steady_clock::now() };
            if (kind == 2) {
                const received_response response = m_fleet.stream(daemon, paths[kind], request);
                result.isServed = response.status == 200 && response.isComplete;
            } else {
                result.isServed = httpCall({ .method = kind == 1 ? "POST" : "GET", .url = "http://" + m_fleet.callerAddress(daemon) + paths[kind], .headers = headersOf(request) }).status == 200;
            }
            {
                const std::lock_guard lock { m_mutex };
                m_samples.push_back(result);
            }
            std::this_thread::sleep_for(50ms);
        }
    }

    relay_fleet& m_fleet;
    std::atomic<bool> m_isStopping = false;
    std::mutex m_mutex;
    std::vector<sample> m_samples;
    std::vector<std::thread> m_threads;
};

std::set<int> othersThan(const std::set<int>& cut, int daemons)
{
    std::set<int> others;
    for (int daemon = 0; daemon < daemons; ++daemon) {
        if (!cut.contains(daemon))
            others.insert(daemon);
    }
    return others;
}

void setPaths(relay_fleet& fleet, const std::set<int>& daemons, path_state state)
{
    for (const int daemon : daemons)
        fleet.setServerPaths(daemon, state);
}

void expectServedDuringCut(const cut_case& testCase, int callersPerDaemon, const server_behaviour& behaviour)
{
    relay_fleet fleet { { .daemons = testCase.daemons, .servers = 6, .hasServerPaths = true, .behaviour = behaviour } };
    caller_load load { fleet, callersPerDaemon, othersThan({}, testCase.daemons) };
    std::this_thread::sleep_for(2s);
    const auto cutAt = std::chrono::steady_clock::now();
    setPaths(fleet, testCase.cut, testCase.state);
    std::this_thread::sleep_for(cutTime);
    const auto healedAt = std::chrono::steady_clock::now();
    setPaths(fleet, testCase.cut, path_state::Open);
    std::this_thread::sleep_for(2s);
    const auto end = std::chrono::steady_clock::now();
    load.stop();
    BOOST_TEST_MESSAGE(testCase.name);
    const double others = load.servedShare(cutAt + contactTime, healedAt, othersThan(testCase.cut, testCase.daemons));
    BOOST_TEST(load.servedShare(cutAt + contactTime, healedAt, testCase.cut) >= minShareRatio * others);
    BOOST_TEST(load.servedShare(healedAt + 1s, end, testCase.cut) >= minShareRatio);
    BOOST_TEST(fleet.ordersRunTwice() == 0);
}

/// Cuts a daemon from all servers and sends it requests until it forwards them; returns false on timeout.
bool loseAccess(relay_fleet& fleet, int daemon)
{
    fleet.setServerPaths(daemon, path_state::Reset);
    return waitUntil(5s, [&] { return fleet.call(daemon, "/read/a").status == 200; });
}

/// What happens to other daemons three seconds after a zone was cut.
struct disturbance_case {
    const char* name;
    std::function<void(relay_fleet&)> disturb;
    std::function<void(relay_fleet&)> end;
    double minShare;

    friend std::ostream& operator<<(std::ostream& out, const disturbance_case& testCase) { return out << testCase.name; }
};

constexpr int receiver = 3;

const disturbance_case disturbances[] {
    { "a receiving daemon is killed", [](relay_fleet& fleet) {
         fleet.daemon(receiver).signal(SIGKILL);
         fleet.daemon(receiver).wait(1s); },
        [](relay_fleet&) {}, 0.95 },
    { "a receiving daemon is frozen", [](relay_fleet& fleet) { fleet.daemon(receiver).signal(SIGSTOP); }, [](relay_fleet& fleet) { fleet.daemon(receiver).signal(SIGCONT); }, 0.8 },
    { "a cut daemon is restarted", [](relay_fleet& fleet) {
         fleet.daemon(0).signal(SIGKILL);
         fleet.daemon(0).wait(1s);
         fleet.restart(0);
         BOOST_REQUIRE(fleet.waitReady(0));
         std::this_thread::sleep_for(2s); },
        [](relay_fleet&) {}, 0.95 },
    { "a cut daemon was frozen", [](relay_fleet& fleet) {
         fleet.daemon(0).signal(SIGSTOP);
         std::this_thread::sleep_for(2s);
         fleet.daemon(0).signal(SIGCONT);
         std::this_thread::sleep_for(500ms); },
        [](relay_fleet&) {}, 0.95 },
};

struct forgery_case {
    const char* name;
    std::map<std::string, std::string> fields;
    bool isCallerPort;
    int status;

    friend std::ostream& operator<<(std::ostream& out, const forgery_case& testCase) { return out << testCase.name; }
};

const std::map<std::string, std::string> forgedFields { { "Radishflow-From", "d1" }, { "Radishflow-Token", "guess" }, { "Radishflow-Config", "0" }, { "Radishflow-Time-Left", "4000" }, { "Radishflow-May-Have-Run", "0" } };

const forgery_case forgeries[] {
    { "all fields at the callers' port", forgedFields, true, 400 },
    { "one field at the callers' port", { { "radishflow-may-have-run", "0" } }, true, 400 },
    { "an unknown token at the port between daemons", forgedFields, false, 503 },
    { "no fields at the port between daemons", {}, false, 503 },
};

} // namespace

BOOST_DATA_TEST_CASE(callersOfZoneWithoutServersAreServed, boost::unit_test::data::make(zoneCuts), testCase)
{
    expectServedDuringCut(testCase, 3, {});
}

// As in the second incident: the same daemons are cut again two seconds after the path has healed, while long requests run.
BOOST_DATA_TEST_CASE(callersOfPartitionedDaemonsAreServedInEachOfTwoCuts, boost::unit_test::data::make(repeatedCuts), testCase)
{
    constexpr auto firstCut = 5s;
    relay_fleet fleet { { .daemons = testCase.daemons, .servers = 8, .hasServerPaths = true, .behaviour = { .events = 8, .pause = 100ms } } };
    caller_load load { fleet, 8, othersThan({}, testCase.daemons) };
    std::this_thread::sleep_for(1s);
    BOOST_TEST_MESSAGE(testCase.name);
    for (int round = 0; round < 2; ++round) {
        const auto cutAt = std::chrono::steady_clock::now();
        setPaths(fleet, testCase.cut, testCase.state);
        std::this_thread::sleep_for(firstCut);
        const auto healedAt = std::chrono::steady_clock::now();
        setPaths(fleet, testCase.cut, path_state::Open);
        std::this_thread::sleep_for(2s);
        const double others = load.servedShare(cutAt + contactTime, healedAt, othersThan(testCase.cut, testCase.daemons));
        BOOST_TEST(load.servedShare(cutAt + contactTime, healedAt, testCase.cut) >= minShareRatio * others);
    }
    load.stop();
    BOOST_TEST(fleet.ordersRunTwice() == 0);
}

BOOST_DATA_TEST_CASE(callersAreServedWhileDaemonsFailInTheCut, boost::unit_test::data::make(disturbances), testCase)
{
    const std::set<int> cut { 0, 1 };
    relay_fleet fleet { { .daemons = 6, .servers = 6, .hasServerPaths = true } };
    caller_load load { fleet, 2, cut };
    std::this_thread::sleep_for(1s);
    setPaths(fleet, cut, path_state::Hanging);
    std::this_thread::sleep_for(3s);
    testCase.disturb(fleet);
    const auto disturbedAt = std::chrono::steady_clock::now();
    std::this_thread::sleep_for(4s);
    const auto end = std::chrono::steady_clock::now();
    load.stop();
    testCase.end(fleet);
    BOOST_TEST_MESSAGE(testCase.name);
    BOOST_TEST(load.servedShare(disturbedAt, end, cut) >= testCase.minShare);
    BOOST_TEST(fleet.ordersRunTwice() == 0);
}

BOOST_AUTO_TEST_CASE(nothingIsForwardedWhileAllDaemonsAreCut)
{
    const std::set<int> all { 0, 1, 2 };
    relay_fleet fleet { { .daemons = 3, .servers = 4, .hasServerPaths = true } };
    caller_load load { fleet, 2, all };
    std::this_thread::sleep_for(1s);
    setPaths(fleet, all, path_state::Reset);
    std::this_thread::sleep_for(3s);
    for (const int daemon : all) {
        const auto beganAt = std::chrono::steady_clock::now();
        BOOST_TEST(fleet.call(daemon, "/order/a", "POST").status == 503);
        BOOST_TEST((std::chrono::steady_clock::now() - beganAt < 1s));
        BOOST_TEST(fleet.lookUp(daemon).size() == all.size());
    }
    load.stop();
    for (const int daemon : all)
        BOOST_TEST(fleet.metric(daemon, "radishflow_forwarded_total") == 0);
    setPaths(fleet, all, path_state::Open);
    BOOST_TEST(waitUntil(1500ms, [&] { return fleet.call(0, "/order/a", "POST").status == 200; }));
}

BOOST_AUTO_TEST_CASE(deadOrSilentServerStartsNothing)
{
    relay_fleet fleet { { .daemons = 3, .servers = 4, .hasServerPaths = true } };
    caller_load load { fleet, 2, { 0, 1, 2 } };
    std::this_thread::sleep_for(1s);
    fleet.server(0).setBehaviour({ .kind = server_response_kind::Silent });
    fleet.setServerPath(0, 1, path_state::Reset);
    fleet.setServerPath(1, 1, path_state::Hanging);
    std::this_thread::sleep_for(4s);
    load.stop();
    for (int daemon = 0; daemon < fleet.daemons(); ++daemon) {
        BOOST_TEST(fleet.metric(daemon, "radishflow_forwarded_total") == 0);
        BOOST_TEST(fleet.metric(daemon, "radishflow_state{name=\"unavailable_services\"}") == 0);
    }
}

BOOST_AUTO_TEST_CASE(cutDaemonsLeaveTheAddressAnswerAndReturn)
{
    relay_fleet fleet { { .daemons = 4, .servers = 4, .hasServerPaths = true } };
    caller_load load { fleet, 2, { 0, 1, 2, 3 } };
    std::this_thread::sleep_for(1s);
    fleet.setServerPaths(0, path_state::Reset);
    const auto isNamed = [&](int asked) {
        const auto addresses = fleet.lookUp(asked);
        return std::find(addresses.begin(), addresses.end(), fleet.callerAddress(0)) != addresses.end();
    };
    BOOST_TEST(waitUntil(3s, [&] { return !isNamed(0) && !isNamed(1) && !isNamed(2) && !isNamed(3); }));
    BOOST_TEST(fleet.waitReady(0));
    fleet.setServerPaths(0, path_state::Open);
    BOOST_TEST(waitUntil(4s, [&] { return isNamed(0) && isNamed(1); }));
}

BOOST_AUTO_TEST_CASE(deadlineAndCancellationHoldOverTheForwardingDaemon)
{
    relay_fleet fleet { { .daemons = 2, .servers = 3, .hasServerPaths = true } };
    BOOST_REQUIRE(loseAccess(fleet, 0));
    const http_call_reply reply = httpCall({ .url = "http://" + fleet.callerAddress(0) + "/read/deadline", .headers = headersOf({ .id = "deadline", .key = relay_fleet::key, .timeLeft = 700ms }) });
    BOOST_TEST(reply.status == 200);
    for (int server = 0; server < fleet.servers(); ++server)
        fleet.server(server).setBehaviour({ .events = 1000, .pause = 20ms });
    {
        caller_connection connection;
        BOOST_REQUIRE(connection.open(fleet.callerAddress(0)));
        connection.run(writeRequestHead("GET /stream/cancelled HTTP/1.1", { .id = "cancelled", .key = relay_fleet::key, .timeLeft = 9s }, false), 300ms);
    }
    const auto find = [&](const std::string& id) {
        for (int server = 0; server < fleet.servers(); ++server) {
            for (const received_request& received : fleet.server(server).seen()) {
                if (received.id == id)
                    return received;
            }
        }
        return received_request {};
    };
    BOOST_TEST(waitUntil(500ms, [&] { return find("cancelled").wasCancelled; }));
    BOOST_TEST(find("deadline").timeLeft.count() > 0);
    BOOST_TEST(find("deadline").timeLeft.count() < 700);
    BOOST_TEST(find("deadline").key.empty());
}

BOOST_AUTO_TEST_CASE(brokenStreamGoesOnOverAnotherDaemonAtItsVersion)
{
    constexpr int events = 30;
    constexpr auto pause = 50ms;
    relay_fleet fleet { { .daemons = 2, .servers = 4, .versions = { "v1", "v2" }, .hasServerPaths = true, .behaviour = { .kind = server_response_kind::Cut, .events = events, .eventsBeforeCut = 10, .pause = pause } } };
    std::pair<std::vector<std::string>, bool> lines;
    std::thread caller { [&] { lines = fleet.stream(0, "/resumable-stream/a"); } };
    BOOST_REQUIRE(waitUntil(1s, [&] { return fleet.runs() > 0; }));
    fleet.setServerPaths(0, path_state::KeptOnly);
    for (int server = 0; server < fleet.servers(); ++server)
        fleet.server(server).setBehaviour({ .events = events, .pause = pause });
    caller.join();
    BOOST_TEST(lines.second);
    int received = 0;
    for (const std::string& line : lines.first) {
        if (line.starts_with("id: "))
            BOOST_TEST(line == "id: " + std::to_string(++received));
    }
    BOOST_TEST(received == events);
    std::set<std::string> versions;
    for (int server = 0; server < fleet.servers(); ++server) {
        if (fleet.server(server).runs() > 0)
            versions.insert(fleet.server(server).version());
    }
    BOOST_TEST(versions.size() == 1U);
    BOOST_TEST(fleet.metric(0, "radishflow_forwarded_total") == 1);
}

BOOST_DATA_TEST_CASE(forgedMarksOfForwardedRequestsAreRefused, boost::unit_test::data::make(forgeries), testCase)
{
    relay_fleet fleet { { .daemons = 2, .servers = 2 } };
    auto headers = headersOf({ .id = "forged", .key = relay_fleet::key, .timeLeft = 4s });
    headers.insert(testCase.fields.begin(), testCase.fields.end());
    const std::string address = testCase.isCallerPort ? fleet.callerAddress(0) : fleet.forwardingAddress(0);
    BOOST_TEST(httpCall({ .method = "POST", .url = "http://" + address + "/order/a", .headers = headers }).status == testCase.status);
    BOOST_TEST(fleet.runs() == 0);
}

// Guards against a daemon that receives a forwarded request, lacks its route, and answers for the daemon that has admitted it.
BOOST_AUTO_TEST_CASE(requestsOfNewRoutesAreNotRefusedByDaemonsWithAnOlderConfiguration)
{
    constexpr int versions = 6;
    constexpr auto observedTime = 1s;
    relay_fleet fleet { { .daemons = 5, .servers = 3, .isProxied = true, .hasServerPaths = true } };
    BOOST_REQUIRE(loseAccess(fleet, 0));
    for (int daemon = 1; daemon < fleet.daemons(); ++daemon)
        fleet.storeLink(daemon).set(R"({"cut":true})");
    std::map<int, int> statuses;
    for (int version = 2; version < 2 + versions; ++version) {
        fleet.configure(version);
        BOOST_REQUIRE(waitUntil(2s, [&] { return fleet.metric(0, "radishflow_state{name=\"config_version\"}") >= version; }));
        const auto end = std::chrono::steady_clock::now() + observedTime;
        while (std::chrono::steady_clock::now() < end)
            ++statuses[fleet.call(0, "/v" + std::to_string(version) + "/a").status];
    }
    for (const auto& [status, count] : statuses)
        BOOST_TEST_MESSAGE("status " << status << ": " << count);
    BOOST_TEST(statuses[404] == 0);
    BOOST_TEST(statuses[200] > 0);
}

BOOST_AUTO_TEST_CASE(resetOfAllPathsIsNotTakenForCrashesOfServers)
{
    relay_fleet fleet { { .daemons = 3, .servers = 6, .hasServerPaths = true, .behaviour = { .pause = 400ms } } };
    const std::string body = "the same order";
    constexpr int orders = 12;
    std::vector<std::thread> callers;
    callers.reserve(orders);
    for (int number = 0; number < orders; ++number) {
        callers.emplace_back([&, number] {
            httpCall({ .method = "POST", .url = "http://" + fleet.callerAddress(0) + "/order/a", .headers = headersOf({ .id = "o" + std::to_string(number), .key = relay_fleet::key, .timeLeft = 4s }), .body = body });
        });
    }
    std::this_thread::sleep_for(200ms);
    fleet.setServerPaths(0, path_state::Reset);
    for (std::thread& caller : callers)
        caller.join();
    std::this_thread::sleep_for(1s);
    for (int daemon = 1; daemon < fleet.daemons(); ++daemon)
        BOOST_TEST(fleet.call(daemon, "/order/a", "POST", relay_fleet::key, body).status == 200);
    fleet.setServerPaths(0, path_state::Open);
    BOOST_TEST(waitUntil(1s, [&] { return fleet.call(0, "/order/a", "POST", relay_fleet::key, body).status == 200; }));
}
