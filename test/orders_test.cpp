// Tests that orders run at most once and that "not run" is true, while daemons die, freeze and the table fails.
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

/// What callers were told of each order, and what the backend servers recorded.
struct order_tally {
    int sent = 0;
    int ranOnce = 0;
    int ranTwice = 0;
    int toldNotRun = 0;
    int toldNotRunYetRan = 0;
    int toldDone = 0;
    int toldDoneYetNotRun = 0;
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

static std::string executionOf(const http_call_reply& reply)
{
    if (reply.status == 0)
        return "unknown";
    if (reply.status < 300)
        return "done";
    for (const char* word : { "not_run", "done" }) {
        if (reply.body.find(std::string { "\"execution\":\"" } + word) != std::string::npos)
            return word;
    }
    return "unknown";
}

static order_tally judge(test_fleet& fleet, const std::map<std::string, std::string>& told)
{
    order_tally tally { .sent = static_cast<int>(told.size()) };
    const std::map<std::string, int> ran = executions(fleet);
    for (const auto& [key, answer] : told) {
        const auto found = ran.find(key);
        const int runs = found == ran.end() ? 0 : found->second;
        tally.ranOnce += runs == 1 ? 1 : 0;
        tally.ranTwice += runs > 1 ? 1 : 0;
        tally.toldNotRun += answer == "not_run" ? 1 : 0;
        tally.toldNotRunYetRan += answer == "not_run" && runs > 0 ? 1 : 0;
        tally.toldDone += answer == "done" ? 1 : 0;
        tally.toldDoneYetNotRun += answer == "done" && runs == 0 ? 1 : 0;
        tally.unknown += answer == "unknown" ? 1 : 0;
    }
    BOOST_TEST_MESSAGE("orders " << tally.sent << ", run once " << tally.ranOnce << ", run twice " << tally.ranTwice << ", told not run " << tally.toldNotRun << ", told not run yet run " << tally.toldNotRunYetRan << ", told done " << tally.toldDone << ", unknown " << tally.unknown);
    return tally;
}

/// Callers that send orders; one that got no answer or "unknown" sends again through other daemons.
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
        return m_told;
    }

private:
    void run(int caller, int orders, std::uint64_t seed)
    {
        std::mt19937_64 random { seed + static_cast<std::uint64_t>(caller) };
        for (int order = 0; order < orders; ++order) {
            const std::string key = "k-" + std::to_string(caller) + "-" + std::to_string(order);
            std::string told = "unknown";
            for (int attempt = 0; attempt < 3 && told == "unknown"; ++attempt) {
                const std::string address = addressOf(random() % m_fleet.daemons().size());
                told = executionOf(httpCall({ .method = "POST", .url = "http://" + address + "/services/records/orders", .headers = { { "X-Workspace", "desk" }, { "Idempotency-Key", key } }, .body = "{\"valve\":\"" + key + "\"}", .timeout = milliseconds { 2500 } }));
            }
            const std::lock_guard lock { m_mutex };
            m_told[key] = told;
        }
    }

    std::string addressOf(std::size_t daemon)
    {
        const std::lock_guard lock { m_mutex };
        return m_fleet.daemons()[daemon].http;
    }

    test_fleet& m_fleet;
    std::mutex m_mutex;
    std::map<std::string, std::string> m_told;
    std::vector<std::thread> m_threads;
};

static void requireTrueAnswers(const order_tally& tally)
{
    BOOST_TEST(tally.ranTwice == 0);
    BOOST_TEST(tally.toldNotRunYetRan == 0);
    BOOST_TEST(tally.toldDoneYetNotRun == 0);
}

static const test_fleet_options orderFleet { .daemons = 4, .engines = 0, .plains = 3 };

BOOST_AUTO_TEST_CASE(sameKeyThroughEveryDaemonAtOnceRunsOnce)
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

BOOST_AUTO_TEST_CASE(lostRepliesOfBackendAndTable)
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
    const auto told = callers.join();
    isDone = true;
    faults.join();
    requireTrueAnswers(judge(fleet, told));
}

BOOST_AUTO_TEST_CASE(daemonsAreKilledAndFrozen)
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
    const auto told = callers.join();
    std::this_thread::sleep_for(milliseconds { 1500 });
    const order_tally tally = judge(fleet, told);
    requireTrueAnswers(tally);
    BOOST_TEST(tally.ranOnce > tally.sent / 2);
}

BOOST_AUTO_TEST_CASE(tableIsDarkAndComesBack)
{
    test_fleet fleet { orderFleet };
    BOOST_REQUIRE(fleet.isReady());
    test_fleet::setFaults(fleet.platformControl(), R"({"down":"refuse"})");
    const http_call_reply refused = fleet.order(fleet.daemons()[0], "dark-1", "{}");
    BOOST_TEST(refused.status == 503);
    BOOST_TEST(executionOf(refused) == "unknown");
    test_fleet::setFaults(fleet.platformControl(), R"({"down":false})");
    const http_call_reply again = fleet.order(fleet.daemons()[1], "dark-1", "{}");
    BOOST_TEST(again.status == 200);
    BOOST_TEST(executions(fleet)["dark-1"] == 1);
}

BOOST_AUTO_TEST_CASE(ticketRunsOnceWhileTheTableIsDark)
{
    test_fleet fleet { orderFleet };
    BOOST_REQUIRE(fleet.isReady());
    const std::string home = fleet.daemons()[0].http;
    const auto answer = Poco::JSON::Parser {}.parse(httpCall({ .url = "http://" + home + "/v1/addresses?workspace=desk&tickets=2" }).body).extract<Poco::JSON::Object::Ptr>();
    BOOST_TEST(answer->getValue<std::string>("tickets_address") == home);
    const std::string ticket = answer->getArray("tickets")->getElement<std::string>(0);
    test_fleet::setFaults(fleet.platformControl(), R"({"down":"refuse"})");
    BOOST_TEST(fleet.order(fleet.daemons()[0], ticket, "{}").status == 200);
    BOOST_TEST(fleet.order(fleet.daemons()[0], ticket, "{}").status == 200);
    BOOST_TEST(fleet.order(fleet.daemons()[1], ticket, "{}").status == 421);
    BOOST_TEST(executions(fleet)[ticket] == 1);
}
