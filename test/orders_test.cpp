// Tests that every order runs at most once and that an order reported as not run did not run, while daemons are killed or
// frozen and the store or its replies fail.
#include "test_fleet.h"

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <boost/test/unit_test.hpp>

#include <atomic>
#include <csignal>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <thread>

using namespace radishflow;
using std::chrono::milliseconds;

/// Numbers of orders by the outcome reported to the callers and by the executions that the backend servers recorded.
struct order_tally {
    int sent = 0;
    int ranOnce = 0;
    int ranMoreThanOnce = 0;
    int reportedNotRun = 0;
    int reportedNotRunButRan = 0;
    int reportedDone = 0;
    int reportedDoneButNotRun = 0;
    int unknown = 0;
};

static std::map<std::string, int> executions(test_fleet& fleet)
{
    std::map<std::string, int> counts;
    for (const fleet_member& plain : fleet.plains()) {
        const auto record = Poco::JSON::Parser {}.parse(test_fleet::record(plain.target)).extract<Poco::JSON::Object::Ptr>();
        const auto runs = record->getObject("executions");
        for (const std::string& key : runs->getNames())
            counts[key] += runs->getValue<int>(key);
    }
    return counts;
}

static std::string reportedOutcome(const http_call_reply& reply)
{
    if (reply.status == 0)
        return "unknown";
    if (reply.status < 300)
        return "done";
    for (const char* outcome : { "not_run", "done" }) {
        if (reply.body.find(std::string { "\"execution\":\"" } + outcome) != std::string::npos)
            return outcome;
    }
    return "unknown";
}

static order_tally tallyOutcomes(test_fleet& fleet, const std::map<std::string, std::string>& outcomes)
{
    order_tally tally { .sent = static_cast<int>(outcomes.size()) };
    const std::map<std::string, int> ran = executions(fleet);
    for (const auto& [key, outcome] : outcomes) {
        const auto found = ran.find(key);
        const int runs = found == ran.end() ? 0 : found->second;
        tally.ranOnce += runs == 1 ? 1 : 0;
        tally.ranMoreThanOnce += runs > 1 ? 1 : 0;
        tally.reportedNotRun += outcome == "not_run" ? 1 : 0;
        tally.reportedNotRunButRan += outcome == "not_run" && runs > 0 ? 1 : 0;
        tally.reportedDone += outcome == "done" ? 1 : 0;
        tally.reportedDoneButNotRun += outcome == "done" && runs == 0 ? 1 : 0;
        tally.unknown += outcome == "unknown" ? 1 : 0;
    }
    BOOST_TEST_MESSAGE("orders " << tally.sent << ", run once " << tally.ranOnce << ", run more than once " << tally.ranMoreThanOnce << ", reported not run " << tally.reportedNotRun << ", reported not run but run " << tally.reportedNotRunButRan << ", reported done " << tally.reportedDone << ", unknown " << tally.unknown);
    return tally;
}

/// Callers that send orders concurrently. After no response or an unknown outcome, a caller resends through a randomly
/// chosen daemon, with at most three attempts for each order.
class order_callers {
public:
    order_callers(test_fleet& fleet, int callers, int ordersEach, std::uint64_t seed)
        : m_fleet(fleet)
    {
        for (int caller = 0; caller < callers; ++caller)
            m_threads.emplace_back([this, caller, ordersEach, seed] { run(caller, ordersEach, seed); });
    }

    std::map<std::string, std::string> join()
    {
        for (std::thread& thread : m_threads)
            thread.join();
        return m_outcomes;
    }

private:
    void run(int caller, int orders, std::uint64_t seed)
    {
        std::mt19937_64 random { seed + static_cast<std::uint64_t>(caller) };
        for (int order = 0; order < orders; ++order) {
            const std::string key = "k-" + std::to_string(caller) + "-" + std::to_string(order);
            std::string outcome = "unknown";
            for (int attempt = 0; attempt < 3 && outcome == "unknown"; ++attempt) {
                const std::string address = addressOfDaemon(random() % m_fleet.daemons().size());
                outcome = reportedOutcome(httpCall({ .method = "POST", .url = "http://" + address + "/services/records/orders", .headers = { { "X-Workspace", "desk" }, { "Idempotency-Key", key } }, .body = "{\"valve\":\"" + key + "\"}", .timeout = milliseconds { 2500 } }));
            }
            const std::lock_guard lock { m_mutex };
            m_outcomes[key] = outcome;
        }
    }

    std::string addressOfDaemon(std::size_t daemon)
    {
        const std::lock_guard lock { m_mutex };
        return m_fleet.daemons()[daemon].http;
    }

    test_fleet& m_fleet;
    std::mutex m_mutex;
    std::map<std::string, std::string> m_outcomes;
    std::vector<std::thread> m_threads;
};

static void checkReportedOutcomes(const order_tally& tally)
{
    BOOST_TEST(tally.ranMoreThanOnce == 0);
    BOOST_TEST(tally.reportedNotRunButRan == 0);
    BOOST_TEST(tally.reportedDoneButNotRun == 0);
}

static const test_fleet_options orderFleet { .daemons = 4, .engines = 0, .plains = 3 };

BOOST_AUTO_TEST_CASE(sameKeySentThroughAllDaemonsConcurrentlyRunsOnce)
{
    test_fleet fleet { orderFleet };
    BOOST_REQUIRE(fleet.isReady());
    for (int round = 0; round < 20; ++round) {
        const std::string key = "same-" + std::to_string(round);
        std::vector<std::thread> callers;
        for (const fleet_member& daemon : fleet.daemons())
            callers.emplace_back([&] { fleet.order(daemon, key, "{}"); });
        for (std::thread& caller : callers)
            caller.join();
    }
    for (const auto& [key, runs] : executions(fleet))
        BOOST_TEST(runs == 1, key << " ran " << runs << " times");
    BOOST_TEST(executions(fleet).size() == 20U);
}

BOOST_AUTO_TEST_CASE(sameKeyWithAnotherBodyIsRefused)
{
    test_fleet fleet { orderFleet };
    BOOST_REQUIRE(fleet.isReady());
    BOOST_TEST(fleet.order(fleet.daemons()[0], "reused", "{\"valve\":1}").status == 200);
    const http_call_reply reply = fleet.order(fleet.daemons()[1], "reused", "{\"valve\":2}");
    BOOST_TEST(reply.status == 422);
    BOOST_TEST(executions(fleet)["reused"] == 1);
}

BOOST_AUTO_TEST_CASE(ordersRunAtMostOnceWhenRepliesOfABackendServerAndTheStoreAreLost)
{
    test_fleet fleet { orderFleet };
    BOOST_REQUIRE(fleet.isReady());
    std::atomic<bool> isDone = false;
    std::thread faults { [&] {
        while (!isDone) {
            test_fleet::setFaults(fleet.platformControl(), R"({"lose_replies":3,"lose_requests":2})");
            test_fleet::setFaults(fleet.plains()[0].target, R"({"lose_replies":2})");
            std::this_thread::sleep_for(milliseconds { 150 });
        }
    } };
    order_callers callers { fleet, 4, 60, 11 };
    const auto outcomes = callers.join();
    isDone = true;
    faults.join();
    checkReportedOutcomes(tallyOutcomes(fleet, outcomes));
}

BOOST_AUTO_TEST_CASE(ordersRunAtMostOnceWhenDaemonsAreKilledAndFrozen)
{
    test_fleet fleet { orderFleet };
    BOOST_REQUIRE(fleet.isReady());
    order_callers callers { fleet, 6, 60, 23 };
    std::this_thread::sleep_for(milliseconds { 300 });
    fleet.daemons()[1].process->signal(SIGSTOP);
    std::this_thread::sleep_for(milliseconds { 500 });
    fleet.daemons()[3].process->signal(SIGKILL);
    std::this_thread::sleep_for(milliseconds { 4500 });
    fleet.daemons()[1].process->signal(SIGCONT);
    const auto outcomes = callers.join();
    std::this_thread::sleep_for(milliseconds { 1500 });
    const order_tally tally = tallyOutcomes(fleet, outcomes);
    checkReportedOutcomes(tally);
    BOOST_TEST(tally.ranOnce > tally.sent / 2);
}

BOOST_AUTO_TEST_CASE(orderRefusedWhileTheStoreIsUnreachableRunsOnceAfterItsReturn)
{
    test_fleet fleet { orderFleet };
    BOOST_REQUIRE(fleet.isReady());
    test_fleet::setFaults(fleet.platformControl(), R"({"down":"refuse"})");
    const http_call_reply refused = fleet.order(fleet.daemons()[0], "dark-1", "{}");
    BOOST_TEST(refused.status == 503);
    BOOST_TEST(reportedOutcome(refused) == "unknown");
    test_fleet::setFaults(fleet.platformControl(), R"({"down":false})");
    const http_call_reply retried = fleet.order(fleet.daemons()[1], "dark-1", "{}");
    BOOST_TEST(retried.status == 200);
    BOOST_TEST(executions(fleet)["dark-1"] == 1);
}

BOOST_AUTO_TEST_CASE(reservedOrderRunsOnceWhileTheStoreIsUnreachable)
{
    test_fleet fleet { orderFleet };
    BOOST_REQUIRE(fleet.isReady());
    const std::string issuer = fleet.daemons()[0].http;
    const auto response = Poco::JSON::Parser {}.parse(httpCall({ .url = "http://" + issuer + "/v1/addresses?workspace=desk&tickets=2" }).body).extract<Poco::JSON::Object::Ptr>();
    BOOST_TEST(response->getValue<std::string>("tickets_address") == issuer);
    const std::string reservation = response->getArray("tickets")->getElement<std::string>(0);
    test_fleet::setFaults(fleet.platformControl(), R"({"down":"refuse"})");
    BOOST_TEST(fleet.order(fleet.daemons()[0], reservation, "{}").status == 200);
    BOOST_TEST(fleet.order(fleet.daemons()[0], reservation, "{}").status == 200);
    BOOST_TEST(fleet.order(fleet.daemons()[1], reservation, "{}").status == 421);
    BOOST_TEST(executions(fleet)[reservation] == 1);
}
