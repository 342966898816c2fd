// Tests that the plain service's stand-in counts what it executed, whatever its caller saw.
#include "radishflow/Emulator/plain_emulator.h"

#include "emulator_caller.h"

#include <boost/test/unit_test.hpp>

#include <thread>

using namespace radishflow;

static std::int64_t executions(const emulator_caller& caller, const std::string& key)
{
    return caller.record()->getObject("executions")->optValue<Poco::Int64>(key, 0);
}

BOOST_AUTO_TEST_CASE(countsExecutionsPerKey)
{
    plain_emulator plain { {}, {} };
    const emulator_caller caller { plain.port() };
    const std::map<std::string, std::string> key { { "Idempotency-Key", "k" }, { "X-Request-Id", "r" }, { "X-Fencing-Term", "5" } };
    BOOST_TEST(caller.call("POST", "/orders/1", "body", key).body.find(R"("echo":"body")") != std::string::npos);
    caller.call("POST", "/orders/1", "body", { { "Idempotency-Key", "k" }, { "X-Fencing-Term", "4" } });
    caller.call("GET", "/status", "", { { "X-Request-Id", "r" } });
    BOOST_TEST(executions(caller, "k") == 2);
    BOOST_TEST(executions(caller, "r") == 1);
    BOOST_TEST(caller.recorded("highest_term") == 5);
    BOOST_TEST(caller.recorded("lower_terms") == 2);
}

BOOST_AUTO_TEST_CASE(executesAndLosesTheReply)
{
    plain_emulator plain { {}, {} };
    const emulator_caller caller { plain.port() };
    caller.setFaults(R"({"lose_replies": 1})");
    const http_call_reply lost = caller.call("POST", "/x", "", { { "Idempotency-Key", "k" } });
    BOOST_TEST(lost.status == 0);
    BOOST_TEST(lost.isConnected);
    BOOST_TEST(executions(caller, "k") == 1);
    BOOST_TEST(caller.call("POST", "/x", "").status == 200);
}

BOOST_AUTO_TEST_CASE(aCrashCutsWhatRunsAndStartsAnew)
{
    plain_emulator plain { {}, { .slow = std::chrono::milliseconds { 1500 } } };
    const emulator_caller caller { plain.port() };
    caller.setFaults(R"({"crash_on": "poison"})");
    const std::string before = caller.call("GET", "/metrics").body;
    http_call_reply victim { .status = -1 };
    std::thread other { [&] { victim = caller.call("POST", "/x", "harmless"); } };
    BOOST_TEST(becomesTrue([&] { return caller.recorded("running") == 1; }));
    BOOST_TEST(caller.call("POST", "/x", "a poison b").status == 0);
    other.join();
    BOOST_TEST(victim.status == 0);
    BOOST_TEST(caller.call("GET", "/metrics").body != before);
    BOOST_TEST(caller.recorded("crashes") == 1);
    BOOST_TEST(caller.recorded("running") == 0);
}

BOOST_AUTO_TEST_CASE(recordsAnOverload)
{
    plain_emulator plain { {}, { .limit = 1, .slow = std::chrono::milliseconds { 300 } } };
    const emulator_caller caller { plain.port() };
    std::thread other { [&] { caller.call("POST", "/x"); } };
    BOOST_TEST(becomesTrue([&] { return caller.recorded("running") == 1; }));
    caller.call("POST", "/x");
    other.join();
    BOOST_TEST(caller.recorded("max_running") == 2);
    BOOST_TEST(caller.recorded("overloads") == 1);
}

BOOST_AUTO_TEST_CASE(refusesConnectionsUntilTakenBack)
{
    plain_emulator plain { { .control = "127.0.0.1:0" }, {} };
    const emulator_caller caller { plain.port() };
    const emulator_caller control { plain.controlPort() };
    control.setFaults(R"({"refuse": true})");
    BOOST_TEST(!caller.call("GET", "/x").isConnected);
    control.setFaults(R"({"refuse": false})");
    BOOST_TEST(caller.call("GET", "/x").status == 200);
    BOOST_TEST(control.record()->getObject("executions")->size() == 1U);
}
