// Tests that planned stops of daemons cut no request that they accepted, and refuse few that they could have finished.
#include "relay_fleet.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <functional>
#include <mutex>
#include <optional>
#include <ostream>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

using namespace radishflow;
using namespace std::chrono_literals;

namespace {

using steady = std::chrono::steady_clock;

constexpr auto grace = 8000ms;
// Callers keep an address for up to three times the lifetime of 2 s that the daemons state, and while they look up a new one.
constexpr auto addressLifetime = 6400ms;
constexpr auto exitTime = 7500ms; ///< After SIGTERM.
constexpr auto silenceAfterExit = 100ms;
constexpr auto sendInterval = 100ms;
constexpr int callers = 24;
constexpr int maxTries = 3;

/// How callers send their orders.
enum class order_form {
    Length, ///< On a new connection each, with a length.
    Chunks, ///< On a new connection each, with a body in two chunks, of which the second follows later.
    Kept, ///< On a kept connection.
};

struct stop_case {
    const char* name;
    std::chrono::milliseconds timeout; ///< Of the route and of the callers.
    std::chrono::milliseconds work; ///< Of an order at least.
    std::chrono::milliseconds extraWork; ///< Of an order at most, additionally.
    std::chrono::milliseconds silence; ///< Of all servers, which begins before the first daemon exits.
    std::optional<std::chrono::milliseconds> changedTimeout; ///< Set by configurations that follow each other during the stops.

    friend std::ostream& operator<<(std::ostream& out, const stop_case& testCase) { return out << testCase.name; }
};

const stop_case shortOrdersOnALongRoute { "short orders on a route of long ones", 12000ms, 60ms, 0ms, 0ms, std::nullopt };

const stop_case stops[] {
    { "short orders and a silence", 2000ms, 60ms, 390ms, 1300ms, std::nullopt },
    { "short orders, a silence and changes", 2000ms, 60ms, 390ms, 1300ms, 1500ms },
    { "long orders", 5000ms, 60ms, 4500ms, 0ms, std::nullopt },
    { "long orders, a silence and changes", 5000ms, 60ms, 3500ms, 1300ms, 4500ms },
    shortOrdersOnALongRoute,
};

struct order_result {
    std::string id;
    steady::time_point sentAt;
    std::chrono::milliseconds duration;
    received_response response;
};

/// Callers that resolve addresses as the platform's do, and send orders until `end`.
class order_callers {
public:
    /// The ids of the orders begin with the given prefix.
    order_callers(relay_fleet& fleet, const char* idPrefix, std::chrono::milliseconds timeout, const std::vector<std::string>& addresses, steady::time_point end)
        : m_fleet(fleet)
        , m_idPrefix(idPrefix)
        , m_timeout(timeout)
        , m_end(end)
    {
        for (int number = 0; number < callers; ++number)
            m_threads.emplace_back([this, number, addresses] { run(number, addresses); });
    }

    std::vector<order_result> finish()
    {
        for (std::thread& thread : m_threads)
            thread.join();
        return m_results;
    }

private:
    void run(int number, std::vector<std::string> addresses)
    {
        std::mt19937 random { static_cast<unsigned>(number) };
        steady::time_point resolvedAt = steady::now();
        caller_connection kept;
        for (int order = 0; steady::now() < m_end; ++order) {
            if (steady::now() - resolvedAt > addressLifetime) {
                if (const auto resolved = lookUp(); !resolved.empty())
                    addresses = resolved;
                resolvedAt = steady::now();
            }
            std::set<std::string> failed;
            for (int attempt = 0; attempt < maxTries; ++attempt) {
                std::vector<std::string> usable;
                std::copy_if(addresses.begin(), addresses.end(), std::back_inserter(usable), [&](const std::string& address) { return !failed.contains(address); });
                if (usable.empty())
                    break;
                const std::string address = usable[random() % usable.size()];
                const std::string id = m_idPrefix + std::to_string(number) + '-' + std::to_string(order) + '-' + std::to_string(attempt);
                if (sendOrder(id, address, static_cast<order_form>(number % 3), kept))
                    break;
                failed.insert(address);
            }
            std::this_thread::sleep_for(sendInterval);
        }
    }

    // Daemons that are stopping do not answer any more once they have ended.
    std::vector<std::string> lookUp()
    {
        for (int daemon = m_fleet.daemons() - 1; daemon >= 0; --daemon) {
            if (auto addresses = m_fleet.lookUp(daemon, 1s); !addresses.empty())
                return addresses;
        }
        return {};
    }

    /// Returns whether the order needs no further attempt.
    bool sendOrder(const std::string& id, const std::string& address, order_form form, caller_connection& kept)
    {
        constexpr auto chunkInterval = 150ms;
        caller_connection fresh;
        caller_connection& connection = form == order_form::Kept ? kept : fresh;
        if (!connection.open(address))
            return false;
        order_result result { .id = id, .sentAt = steady::now() };
        const std::string head = writeRequestHead("POST /order/" + id + " HTTP/1.1", { .id = id, .key = relay_fleet::key, .timeLeft = m_timeout }, false);
        const std::string fields = head.substr(0, head.rfind("Connection"));
        if (form == order_form::Chunks) {
            connection.send(fields + "Transfer-Encoding: chunked\r\n\r\n5\r\nvalve\r\n");
            std::this_thread::sleep_for(chunkInterval);
            result.response = connection.run("0\r\n\r\n", m_timeout);
        } else {
            result.response = connection.run(fields + "Content-Length: 5\r\n\r\nvalve", m_timeout);
        }
        result.duration = std::chrono::duration_cast<std::chrono::milliseconds>(steady::now() - result.sentAt);
        const bool isRefused = result.response.status == 503 || result.response.status == 0;
        const std::lock_guard lock { m_mutex };
        m_results.push_back(std::move(result));
        return !isRefused;
    }

    relay_fleet& m_fleet;
    std::string m_idPrefix;
    std::chrono::milliseconds m_timeout;
    steady::time_point m_end;
    std::mutex m_mutex;
    std::vector<order_result> m_results;
    std::vector<std::thread> m_threads;
};

std::set<std::string> ordersThatRan(relay_fleet& fleet)
{
    std::set<std::string> ids;
    for (int server = 0; server < fleet.servers(); ++server) {
        for (const received_request& received : fleet.server(server).seen()) {
            if (received.hasRun)
                ids.insert(received.id);
        }
    }
    return ids;
}

/// Results of the orders that were sent around two stops, and the time of the first SIGTERM.
struct stop_results {
    std::vector<order_result> orders;
    steady::time_point stoppedAt;
};

/// A fleet whose daemons log to files. The test does not read pipes, and an earlier build cannot exit while its pipe is full.
class stopping_fleet {
public:
    stopping_fleet(const server_behaviour& behaviour)
        : m_logFolder(std::filesystem::temp_directory_path() / ("planned-stops-" + std::to_string(getpid())))
    {
        std::filesystem::create_directories(m_logFolder);
        m_fleet.emplace(relay_fleet_options { .daemons = 3, .logFolder = m_logFolder, .behaviour = behaviour, .stopGrace = grace });
    }
    ~stopping_fleet()
    {
        m_fleet.reset();
        std::filesystem::remove_all(m_logFolder);
    }
    stopping_fleet(const stopping_fleet&) = delete;
    stopping_fleet& operator=(const stopping_fleet&) = delete;

    relay_fleet& operator*() { return *m_fleet; }

private:
    std::filesystem::path m_logFolder;
    std::optional<relay_fleet> m_fleet;
};

stop_results sendOrdersAroundStops(relay_fleet& fleet, const stop_case& testCase)
{
    constexpr auto stopInterval = 3s;
    int version = 2;
    fleet.configure({ .version = version, .workspaceKey = relay_fleet::key, .orderTimeout = testCase.timeout });
    std::this_thread::sleep_for(1s);
    // Daemons learn from earlier orders how long they take.
    const auto warmUpEnd = steady::now() + 2s;
    order_callers { fleet, "early-", testCase.timeout, fleet.lookUp(0), warmUpEnd }.finish();
    const std::vector<std::string> addresses = fleet.lookUp(0);
    stop_results results { .stoppedAt = steady::now() };
    fleet.daemon(0).signal(SIGTERM);
    order_callers load { fleet, "o-", testCase.timeout, addresses, results.stoppedAt + grace };
    std::vector<std::pair<std::chrono::milliseconds, std::function<void()>>> events { { stopInterval, [&] { fleet.daemon(1).signal(SIGTERM); } } };
    if (testCase.silence > 0ms)
        events.emplace_back(exitTime + silenceAfterExit - testCase.silence, [&] {
            for (int server = 0; server < fleet.servers(); ++server)
                fleet.server(server).fallSilent(testCase.silence); });
    if (testCase.changedTimeout) {
        for (const auto at : { 5500ms, 6000ms, 6500ms })
            events.emplace_back(at, [&] { fleet.configure({ .version = ++version, .workspaceKey = relay_fleet::key, .orderTimeout = version % 2 == 0 ? testCase.timeout : *testCase.changedTimeout }); });
    }
    std::sort(events.begin(), events.end(), [](const auto& left, const auto& right) { return left.first < right.first; });
    for (const auto& [at, act] : events) {
        std::this_thread::sleep_until(results.stoppedAt + at);
        act();
    }
    results.orders = load.finish();
    BOOST_TEST(fleet.daemon(0).wait(grace).value_or(-1) == 0);
    BOOST_TEST(fleet.daemon(1).wait(grace).value_or(-1) == 0);
    return results;
}

} // namespace

// Guards against orders that a stopping daemon passes on to a server and cuts when its process ends.
BOOST_DATA_TEST_CASE(ordersThatRanAroundStopsGetTheirResponses, boost::unit_test::data::make(stops), testCase)
{
    stopping_fleet stopping { { .pause = testCase.work, .extraPause = testCase.extraWork } };
    relay_fleet& fleet = *stopping;
    const auto [orders, stoppedAt] = sendOrdersAroundStops(fleet, testCase);
    const std::set<std::string> ran = ordersThatRan(fleet);
    constexpr auto timeoutSlack = 50ms;
    const auto shortest = std::min(testCase.timeout, testCase.changedTimeout.value_or(testCase.timeout));
    int refused = 0;
    int served = 0;
    for (const order_result& order : orders) {
        refused += order.response.status == 503 ? 1 : 0;
        served += order.response.status == 200 && order.response.isComplete ? 1 : 0;
        const bool isCut = order.response.status == 0 || !order.response.isComplete;
        BOOST_TEST(!(isCut && ran.contains(order.id) && order.duration + timeoutSlack < shortest),
            order.id << " was sent " << std::chrono::duration_cast<std::chrono::milliseconds>(order.sentAt - stoppedAt).count() << " ms after SIGTERM, ran and was cut after " << order.duration.count() << " ms");
        BOOST_TEST(!(order.response.status == 503 && ran.contains(order.id)), order.id << " was refused and ran");
    }
    BOOST_TEST_MESSAGE(testCase.name << ": " << served << " served, " << refused << " refused of " << orders.size());
    BOOST_TEST(served > 0);
}

// Guards against orders that are lost at the daemon which forwarded them, because the one that sent them to a server stops.
BOOST_AUTO_TEST_CASE(ordersForwardedToAStoppingDaemonGetTheirResponses)
{
    constexpr auto timeout = 4000ms;
    relay_fleet fleet { { .daemons = 3, .hasServerPaths = true, .behaviour = { .pause = 60ms, .extraPause = 2000ms }, .stopGrace = grace } };
    fleet.configure({ .version = 2, .workspaceKey = relay_fleet::key, .orderTimeout = timeout });
    fleet.setServerPaths(0, path_state::Reset);
    BOOST_REQUIRE(waitUntil(5s, [&] { return fleet.call(0, "/read/a").status == 200; }));
    order_callers load { fleet, "f-", timeout, { fleet.callerAddress(0) }, steady::now() + grace };
    std::this_thread::sleep_for(500ms);
    fleet.daemon(1).signal(SIGTERM);
    const auto orders = load.finish();
    BOOST_TEST(fleet.daemon(1).wait(grace).value_or(-1) == 0);
    const std::set<std::string> ran = ordersThatRan(fleet);
    int served = 0;
    for (const order_result& order : orders) {
        served += order.response.status == 200 ? 1 : 0;
        BOOST_TEST((order.response.status == 200 || !ran.contains(order.id)), order.id << " ran and ended with status " << order.response.status << " after " << order.duration.count() << " ms");
    }
    BOOST_TEST_MESSAGE(served << " served of " << orders.size());
    BOOST_TEST(served > 0);
}

// Guards against refusals of short orders only because their route's timeout is longer than the rest of the daemon's life.
BOOST_AUTO_TEST_CASE(shortOrdersAreAcceptedEarlyInAStopThoughTheirTimeoutIsLong)
{
    constexpr auto early = 2500ms;
    stopping_fleet fleet { { .pause = 60ms } };
    const auto [orders, stoppedAt] = sendOrdersAroundStops(*fleet, shortOrdersOnALongRoute);
    const auto refusedEarly = std::count_if(orders.begin(), orders.end(), [&, begin = stoppedAt](const order_result& order) { return order.response.status == 503 && order.sentAt < begin + early; });
    BOOST_TEST(refusedEarly == 0);
}
