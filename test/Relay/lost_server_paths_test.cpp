// Tests that daemons which lose the path to all backend servers serve their callers through other daemons.
#include "relay_fleet.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <atomic>
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

struct sample {
    int daemon = 0;
    steady_time beganAt;
    bool isServed = false;
};

/// Sends requests of all kinds to all daemons until it is destroyed, each with an id of its own.
class caller_load {
public:
    caller_load(relay_fleet& fleet, int callersPerDaemon)
        : m_fleet(fleet)
    {
        for (int daemon = 0; daemon < fleet.daemons(); ++daemon) {
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

/// Returns the number of requests to the route of orders that ran more than once.
int ordersRunTwice(relay_fleet& fleet)
{
    std::map<std::string, int> runs;
    for (int server = 0; server < fleet.servers(); ++server) {
        for (const received_request& received : fleet.server(server).seen()) {
            if (received.hasRun && received.target.starts_with("/order/"))
                ++runs[received.id];
        }
    }
    return static_cast<int>(std::count_if(runs.begin(), runs.end(), [](const auto& entry) { return entry.second > 1; }));
}

void expectServedDuringCut(const cut_case& testCase, int callersPerDaemon, const server_behaviour& behaviour)
{
    relay_fleet fleet { { .daemons = testCase.daemons, .servers = 6, .hasServerPaths = true, .behaviour = behaviour } };
    caller_load load { fleet, callersPerDaemon };
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
    BOOST_TEST(ordersRunTwice(fleet) == 0);
}

} // namespace

BOOST_DATA_TEST_CASE(callersOfZoneWithoutServersAreServed, boost::unit_test::data::make(zoneCuts), testCase)
{
    expectServedDuringCut(testCase, 3, {});
}

BOOST_AUTO_TEST_CASE(resetOfAllPathsIsNotTakenForCrashesOfServers)
{
    relay_fleet fleet { { .daemons = 3, .servers = 6, .hasServerPaths = true, .behaviour = { .pause = 400ms } } };
    const std::string body = "the same order";
    std::vector<std::thread> callers;
    for (int number = 0; number < 12; ++number) {
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
