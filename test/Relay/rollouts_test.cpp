// Tests that daemons execute the operator's orders to move a service to another version of its software, with sound and with faulty
// versions.
#include "relay_fleet.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <csignal>
#include <ostream>
#include <string>
#include <thread>
#include <vector>

using namespace radishflow;
using namespace std::chrono_literals;

namespace {

using steady_time = std::chrono::steady_clock::time_point;

constexpr int daemons = 6;
constexpr int serversOfVersion = 4; // Servers with even numbers run the version in force, the others the target of the order.
constexpr int callers = 12;
constexpr auto callInterval = 50ms;
constexpr int rampSeconds = 8;
constexpr auto statusDelay = 3s; // After the ramp.

// The platform's bounds on a faulty version: a share of the requests and a number, and a time after its 50th faulty response.
constexpr double maxExposure = 0.1;
constexpr double exposureSlack = 50;
constexpr std::size_t responsesBeforeBound = 50;
constexpr auto rollbackTime = 5s;

enum class disturbance {
    None,
    KilledDaemons, ///< Three daemons are killed one after the other.
    RestartOfAll, ///< All daemons are killed at once.
    LostStore, ///< The store does not respond for a time.
    DrainingServer, ///< A server of the target drains.
};

struct rollout_case {
    const char* name;
    server_behaviour target; ///< Of the servers of the target.
    std::chrono::milliseconds faultBegin { 0 }; ///< Since the order; until then the target behaves as the others.
    disturbance during = disturbance::None; ///< In the middle of the ramp.
    std::string end;

    bool endsDaemons() const { return during == disturbance::KilledDaemons || during == disturbance::RestartOfAll; }

    friend std::ostream& operator<<(std::ostream& out, const rollout_case& test) { return out << test.name; }
};

const server_behaviour usual { .pause = 20ms };
const server_behaviour failing { .kind = server_response_kind::Failure, .pause = 20ms };

const std::vector<rollout_case> rollouts {
    { .name = "a sound version", .target = usual, .end = "done" },
    { .name = "a version that fails", .target = failing, .end = "rolled_back" },
    { .name = "a version that fails later", .target = failing, .faultBegin = 3s, .end = "rolled_back" },
    { .name = "a version that is slow", .target = { .pause = 160ms }, .end = "rolled_back" },
    { .name = "a sound version while daemons are killed", .target = usual, .during = disturbance::KilledDaemons, .end = "done" },
    { .name = "a version that fails while daemons are killed", .target = failing, .faultBegin = 3s, .during = disturbance::KilledDaemons, .end = "rolled_back" },
    { .name = "a version that fails while the store is away", .target = failing, .during = disturbance::LostStore, .end = "rolled_back" },
    { .name = "a version that fails on one route", .target = { .kind = server_response_kind::Failure, .failingTarget = "/order/a", .pause = 20ms }, .end = "rolled_back" },
    { .name = "a version that fails under load", .target = { .kind = server_response_kind::Failure, .failingLoad = 1, .pause = 20ms }, .end = "rolled_back" },
    { .name = "a sound version while all daemons restart", .target = usual, .faultBegin = 3s, .during = disturbance::RestartOfAll, .end = "done" },
    { .name = "a version that fails while all daemons restart", .target = failing, .faultBegin = 3s, .during = disturbance::RestartOfAll, .end = "rolled_back" },
    { .name = "a sound version one of whose servers drains", .target = usual, .faultBegin = 3s, .during = disturbance::DrainingServer, .end = "done" },
};

/// Sends requests through all daemons until it is destroyed.
class steady_callers {
public:
    explicit steady_callers(relay_fleet& fleet)
    {
        for (int caller = 0; caller < callers; ++caller) {
            m_threads.emplace_back([this, caller, &fleet] {
                const std::string url = "http://" + fleet.callerAddress(caller % daemons) + (caller < callers / 2 ? "/read/a" : "/order/a");
                for (int number = 0; !m_isStopping; ++number) {
                    const http_call_reply reply = httpCall({ .url = url, .headers = headersOf({ .id = "c" + std::to_string(caller) + '-' + std::to_string(number), .key = relay_fleet::key }) });
                    ++m_requests;
                    m_served += reply.status == 200 ? 1 : 0;
                    std::this_thread::sleep_for(callInterval);
                }
            });
        }
    }
    ~steady_callers()
    {
        m_isStopping = true;
        for (std::thread& thread : m_threads)
            thread.join();
    }
    steady_callers(const steady_callers&) = delete;
    steady_callers& operator=(const steady_callers&) = delete;

    double servedShare() const { return static_cast<double>(m_served) / static_cast<double>(std::max(m_requests.load(), 1)); }

private:
    std::atomic<bool> m_isStopping = false;
    std::atomic<int> m_requests = 0;
    std::atomic<int> m_served = 0;
    std::vector<std::thread> m_threads;
};

bool isTarget(int server) { return server % 2 == 1; }

std::vector<steady_time> arrivals(relay_fleet& fleet, bool atTarget, steady_time from, steady_time to)
{
    std::vector<steady_time> times;
    for (int server = 0; server < fleet.servers(); ++server) {
        if (isTarget(server) != atTarget)
            continue;
        for (const received_request& received : fleet.server(server).seen()) {
            if (received.at >= from && received.at < to)
                times.push_back(received.at);
        }
    }
    std::sort(times.begin(), times.end());
    return times;
}

std::string stateOf(relay_fleet& fleet) { return readRolloutState(fleet.store().value(orderStatusTable, rolloutKey())); }

void setTarget(relay_fleet& fleet, const server_behaviour& behaviour)
{
    for (int server = 1; server < fleet.servers(); server += 2)
        fleet.server(server).setBehaviour(behaviour);
}

/// Kills three daemons one after the other and starts them again.
void killDaemons(relay_fleet& fleet)
{
    for (const int daemon : { 0, 2, 4 }) {
        fleet.daemon(daemon).signal(SIGKILL);
        std::this_thread::sleep_for(300ms);
        fleet.restart(daemon);
        std::this_thread::sleep_for(900ms);
    }
}

void restartAll(relay_fleet& fleet)
{
    for (int daemon = 0; daemon < daemons; ++daemon)
        fleet.daemon(daemon).signal(SIGKILL);
    std::this_thread::sleep_for(300ms);
    for (int daemon = 0; daemon < daemons; ++daemon)
        fleet.restart(daemon);
}

/// Drains a server of the target and checks that it gets nothing after the platform's bound.
void drainServer(relay_fleet& fleet)
{
    constexpr int leaving = 3;
    constexpr auto drainBound = 2s; // As in the daemons' settings.
    fleet.list(leaving, "draining");
    std::this_thread::sleep_for(drainBound);
    const int runs = fleet.server(leaving).runs();
    std::this_thread::sleep_for(500ms);
    BOOST_TEST(fleet.server(leaving).runs() == runs);
}

void disturb(relay_fleet& fleet, disturbance during)
{
    switch (during) {
    case disturbance::None:
        return;
    case disturbance::KilledDaemons:
        return killDaemons(fleet);
    case disturbance::RestartOfAll:
        return restartAll(fleet);
    case disturbance::LostStore:
        fleet.store().setFault(store_fault::Busy);
        std::this_thread::sleep_for(2s); // Shorter than keys are trusted.
        return fleet.store().setFault(store_fault::None);
    case disturbance::DrainingServer:
        return drainServer(fleet);
    }
}

} // namespace

BOOST_DATA_TEST_CASE(orderEndsByTheResponsesOfItsTarget, boost::unit_test::data::make(rollouts), plan)
{
    relay_fleet fleet { { .daemons = daemons, .servers = 2 * serversOfVersion, .versions = { "v1", "v2" }, .behaviour = usual, .contracts = { rolloutContract() } } };
    for (int server = 1; server < fleet.servers(); server += 2)
        fleet.store().unlist(fleet.server(server).id());
    std::this_thread::sleep_for(1500ms);
    const steady_callers load { fleet };
    std::this_thread::sleep_for(2s);
    const steady_time orderedAt = std::chrono::steady_clock::now();
    const steady_time limit = orderedAt + std::chrono::seconds { rampSeconds };
    if (plan.faultBegin == 0ms)
        setTarget(fleet, plan.target);
    fleet.store().put(orderTable, rolloutKey(), writeRolloutOrder("v2", rampSeconds));
    for (int server = 1; server < fleet.servers(); server += 2)
        fleet.list(server);
    std::this_thread::sleep_for(plan.faultBegin);
    const steady_time faultyFrom = std::chrono::steady_clock::now();
    setTarget(fleet, plan.target);
    disturb(fleet, plan.during);
    BOOST_TEST(waitUntil(std::chrono::duration_cast<std::chrono::milliseconds>(limit + statusDelay - std::chrono::steady_clock::now()), [&] { return stateOf(fleet) == plan.end; }), "state " << stateOf(fleet));
    const steady_time endedAt = std::chrono::steady_clock::now();
    if (plan.end == "done") {
        // The servers of other versions stop at once.
        for (int server = 0; server < fleet.servers(); server += 2) {
            fleet.server(server).exit();
            fleet.store().unlist(fleet.server(server).id());
        }
        std::this_thread::sleep_for(2s);
        BOOST_TEST(!arrivals(fleet, true, endedAt + 1s, endedAt + 2s).empty());
        BOOST_TEST(load.servedShare() >= (plan.endsDaemons() ? 0.8 : 0.98));
        return;
    }
    std::this_thread::sleep_for(2s);
    const auto atTarget = arrivals(fleet, true, orderedAt, limit);
    const double all = static_cast<double>(atTarget.size() + arrivals(fleet, false, orderedAt, limit).size());
    BOOST_TEST_MESSAGE(plan << ": the target got " << atTarget.size() << " of " << all << " requests");
    BOOST_TEST(static_cast<double>(atTarget.size()) <= maxExposure * all + exposureSlack);
    const auto faulty = arrivals(fleet, true, faultyFrom, std::chrono::steady_clock::now());
    if (faulty.size() > responsesBeforeBound)
        BOOST_TEST((faulty.back() <= faulty[responsesBeforeBound - 1] + rollbackTime));
    BOOST_TEST(arrivals(fleet, true, endedAt + 1s, std::chrono::steady_clock::now()).empty());
    BOOST_TEST(load.servedShare() >= (plan.endsDaemons() ? 0.75 : 0.93));
}
