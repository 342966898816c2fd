// Tests the engine's stand-in over HTTP: whole answers, cuts, resumption, cancels, reports, orders.
#include "radishflow/Emulator/engine_emulator.h"
#include "radishflow/Emulator/expected_answer.h"

#include "emulator_caller.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <thread>

using namespace radishflow;
using std::chrono::milliseconds;

namespace {

using header_map = std::map<std::string, std::string>;

std::string chatBody(bool isStream, int tokens, const std::string& prompt = "hi")
{
    return R"({"model":"m","stream":)" + std::string(isStream ? "true" : "false") + R"(,"max_tokens":)" + std::to_string(tokens)
        + R"(,"messages":[{"role":"user","content":"old"},{"role":"user","content":")" + prompt + R"("}]})";
}

struct stream_reading {
    std::string text;
    int lastId = 0;
    bool isDone = false;
};

struct engine_fixture {
    engine_emulator engine { {}, { .slots = 4, .tokenInterval = milliseconds { 5 }, .firstToken = milliseconds { 5 }, .coldLimit = 0, .reportLag = milliseconds { 0 } } };
    emulator_caller caller { engine.port() };

    stream_reading stream(const header_map& headers, int tokens, const std::string& prompt = "hi") const
    {
        stream_reading reading;
        httpStream(caller.request("POST", "/v1/chat/completions", chatBody(true, tokens, prompt), headers), [&](std::string_view line) {
            if (line.starts_with("id: "))
                reading.lastId = std::stoi(std::string { line.substr(4) });
            else if (line == "data: [DONE]")
                reading.isDone = true;
            else if (line.starts_with("data: "))
                reading.text += contentOf(std::string { line.substr(6) });
            return true;
        });
        return reading;
    }

    static std::string contentOf(const std::string& chunk)
    {
        const auto object = Poco::JSON::Parser {}.parse(chunk).extract<Poco::JSON::Object::Ptr>();
        return object->getArray("choices")->getObject(0)->getObject("delta")->getValue<std::string>("content");
    }

    bool metricsShow(const std::string& line) const
    {
        return becomesTrue([&] { return ("\n" + caller.call("GET", "/metrics").body).find("\n" + line + "\n") != std::string::npos; });
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(engineEmulator, engine_fixture)

BOOST_AUTO_TEST_CASE(answersWholeBothWays)
{
    const std::string expected = expectedAnswer("m", "hi", 4);
    BOOST_TEST(expected.starts_with("t1-"));
    const stream_reading reading = stream({ { "X-Request-Id", "r" } }, 4);
    BOOST_TEST(reading.text == expected);
    BOOST_TEST(reading.isDone);
    BOOST_TEST(reading.lastId == 4);
    BOOST_TEST(caller.call("POST", "/v1/chat/completions", chatBody(false, 4)).body.find(expected) != std::string::npos);
    BOOST_TEST(caller.record()->getObject("requests")->getValue<int>("r") == 1);
}

BOOST_AUTO_TEST_CASE(resumesACutStreamAfterTheLastToken)
{
    caller.setFaults(R"({"cut_after_tokens": 3})");
    const stream_reading cut = stream({ { "X-Request-Id", "r" } }, 20);
    BOOST_TEST(cut.lastId == 3);
    BOOST_TEST(!cut.isDone);
    const stream_reading rest = stream({ { "X-Request-Id", "r" }, { "Last-Event-ID", "3" } }, 20);
    BOOST_TEST(cut.text + rest.text == expectedAnswer("m", "hi", 20));
    BOOST_TEST(rest.isDone);
    BOOST_TEST(caller.recorded("resumed") == 1);
    BOOST_TEST(caller.record()->getObject("requests")->getValue<int>("r") == 1);
    BOOST_TEST(caller.call("POST", "/v1/chat/completions", chatBody(true, 4), { { "X-Request-Id", "unknown" }, { "Last-Event-ID", "3" } }).status == 404);
}

BOOST_AUTO_TEST_CASE(cancelEndsTheStreamWithoutDone)
{
    stream_reading reading;
    std::thread reader { [&] { reading = stream({ { "X-Request-Id", "r" }, { "X-Fencing-Term", "7" } }, 5000); } };
    BOOST_TEST(metricsShow("engine_requests_running 1"));
    BOOST_TEST(metricsShow(R"(engine_requests_running_by_origin{origin="7"} 1)"));
    BOOST_TEST(caller.call("DELETE", "/v1/requests/r").status == 200);
    reader.join();
    BOOST_TEST(!reading.isDone);
    BOOST_TEST(caller.recorded("cancelled") == 1);
    BOOST_TEST(caller.call("DELETE", "/v1/requests/r").status == 404);
    BOOST_TEST(metricsShow("engine_requests_running 0"));
}

BOOST_AUTO_TEST_CASE(aCrashCutsAllStreamsAndStartsAnew)
{
    caller.setFaults(R"({"crash_on": "poison"})");
    const std::string before = caller.call("GET", "/metrics").body;
    stream_reading victim { .isDone = true };
    std::thread reader { [&] { victim = stream({}, 5000); } };
    BOOST_TEST(metricsShow("engine_requests_running 1"));
    BOOST_TEST(!stream({}, 4, "a poison b").isDone);
    reader.join();
    BOOST_TEST(!victim.isDone);
    BOOST_TEST(caller.recorded("crashes") == 1);
    const auto startOf = [](const std::string& metrics) {
        const auto begin = metrics.find("process_start_time_seconds");
        return metrics.substr(begin, metrics.find('\n', begin) - begin);
    };
    BOOST_TEST(becomesTrue([&] { return startOf(caller.call("GET", "/metrics").body) != startOf(before); }));
}

BOOST_AUTO_TEST_CASE(producesNothingWhilePaused)
{
    stream_reading running;
    stream_reading added;
    std::thread first { [&] { running = stream({}, 60); } };
    BOOST_TEST(metricsShow("engine_requests_running 1"));
    caller.setFaults(R"({"pause": true})");
    std::thread second { [&] { added = stream({}, 2); } };
    std::this_thread::sleep_for(milliseconds { 600 });
    BOOST_TEST(caller.recorded("completed") == 0);
    caller.setFaults(R"({"pause": false})");
    first.join();
    second.join();
    BOOST_TEST(running.text == expectedAnswer("m", "hi", 60));
    BOOST_TEST(added.isDone);
}

BOOST_AUTO_TEST_CASE(reportsLate)
{
    caller.setFaults(R"({"report_lag_ms": 60000})");
    stream({ { "X-Chat-Prefix", "ab" } }, 2);
    BOOST_TEST(caller.call("GET", "/kv/events?since=0").body.find("stored") == std::string::npos);
    BOOST_TEST(caller.call("GET", "/metrics").body.find("engine_requests_completed_total 0") != std::string::npos);
    caller.setFaults(R"({"report_lag_ms": 0})");
    BOOST_TEST(caller.call("GET", "/kv/events?since=0").body.find(R"("prefix":"ab","seq":1,"type":"stored")") != std::string::npos);
    BOOST_TEST(metricsShow("engine_requests_completed_total 1"));
}

BOOST_AUTO_TEST_CASE(movesACachedPrefixToAnotherEngine)
{
    const engine_emulator other { {}, {} };
    const emulator_caller target { other.port() };
    BOOST_TEST(caller.call("POST", "/kv/export", R"({"prefix":"ab"})").status == 404);
    stream({ { "X-Chat-Prefix", "ab" } }, 2);
    const http_call_reply exported = caller.call("POST", "/kv/export", R"({"prefix":"ab"})");
    BOOST_TEST(exported.status == 200);
    BOOST_TEST(target.call("POST", "/kv/import?prefix=cd", exported.body).status == 400);
    BOOST_TEST(target.call("POST", "/kv/import?prefix=ab", exported.body).status == 200);
    target.call("POST", "/v1/chat/completions", chatBody(false, 1), { { "X-Chat-Prefix", "ab" } });
    BOOST_TEST(target.recorded("prefix_hits") == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_DATA_TEST_CASE(checksFencesOnlyWhenItDoes, boost::unit_test::data::make({ true, false }), checks)
{
    engine_emulator engine { {}, { .checksFence = checks } };
    const emulator_caller caller { engine.port() };
    const auto order = [&](int fence) { return caller.call("POST", "/orders", R"({"order":"load_model","name":"m","fence":)" + std::to_string(fence) + "}").status; };
    BOOST_TEST(order(5) == 200);
    BOOST_TEST(order(5) == 200);
    BOOST_TEST(order(4) == (checks ? 409 : 200));
    const auto orders = caller.record()->getArray("orders");
    BOOST_TEST(orders->size() == 3U);
    BOOST_TEST(orders->getObject(2)->getValue<bool>("stale"));
}
