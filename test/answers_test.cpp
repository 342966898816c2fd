// Tests that every caller gets its own whole answer, or one that is visibly broken, while streams are cut.
#include "radishflow/Emulator/expected_answer.h"

#include "test_fleet.h"

#include <Poco/Net/StreamSocket.h>
#include <boost/test/unit_test.hpp>

#include <atomic>
#include <csignal>
#include <thread>
#include <vector>

using namespace radishflow;
using std::chrono::milliseconds;

static const test_fleet_options streamFleet { .daemons = 3, .engines = 3, .plains = 0, .engineArguments = { "--token_interval_ms=15", "--resume_ms=20000" } };

struct streamed_answer {
    http_call_reply reply;
    std::string text;
};

static streamed_answer streamOnce(const std::string& address, const std::string& chat, const std::string& prompt, int tokens, std::map<std::string, std::string> headers)
{
    headers.insert({ { "X-Workspace", "desk" }, { "X-Chat", chat } });
    streamed_answer answer;
    answer.reply = httpStream({ .method = "POST", .url = "http://" + address + "/v1/chat/completions", .headers = headers, .body = chatBody(prompt, tokens, true), .timeout = milliseconds { 8000 } },
        [&](std::string_view line) {
            answer.text.append(line).append("\n");
            return true;
        });
    return answer;
}

// A caller comes back when it is told that nothing was run, as it is at cold servers.
static streamed_answer stream(const std::string& address, const std::string& chat, const std::string& prompt, int tokens, const std::map<std::string, std::string>& headers = {})
{
    streamed_answer answer;
    waitUntil(milliseconds { 12000 }, [&] {
        answer = streamOnce(address, chat, prompt, tokens, headers);
        return answer.reply.status != 503;
    });
    return answer;
}

// A test's caller numbers nothing itself: the last event's id is what it would send as Last-Event-ID.
static std::string lastEventId(const std::string& text)
{
    const std::size_t place = text.rfind("id: ");
    return place == std::string::npos ? "0" : text.substr(place + 4, text.find('\n', place) - place - 4);
}

BOOST_AUTO_TEST_CASE(concurrentStreamsAreNeverMixed)
{
    test_fleet fleet { streamFleet };
    BOOST_REQUIRE(fleet.isReady());
    std::atomic<int> whole = 0;
    std::vector<std::thread> callers;
    callers.reserve(12);
    for (int caller = 0; caller < 12; ++caller) {
        callers.emplace_back([&, caller] {
            const std::string prompt = "prompt " + std::to_string(caller);
            const streamed_answer answer = stream(fleet.daemons()[static_cast<std::size_t>(caller) % 3].http, "chat-" + std::to_string(caller), prompt, 20);
            whole += contentOf(answer.text) == expectedAnswer("hydro-large", prompt, 20) ? 1 : 0;
        });
    }
    for (std::thread& caller : callers)
        caller.join();
    BOOST_TEST(whole == 12);
}

BOOST_AUTO_TEST_CASE(streamThatTheEngineCutsIsResumedAtItsOffset)
{
    test_fleet fleet { streamFleet };
    BOOST_REQUIRE(fleet.isReady());
    for (const fleet_member& engine : fleet.engines())
        test_fleet::setFaults(engine.target, R"({"cut_after_tokens":5})");
    const streamed_answer answer = stream(fleet.daemons()[0].http, "cut", "draw-down", 20);
    BOOST_TEST(contentOf(answer.text) == expectedAnswer("hydro-large", "draw-down", 20));
    int resumed = 0;
    for (const fleet_member& engine : fleet.engines())
        resumed += test_fleet::record(engine.target).find("\"resumed\":1") != std::string::npos ? 1 : 0;
    BOOST_TEST(resumed == 1);
}

BOOST_AUTO_TEST_CASE(callerResumesAtAnotherEntryAfterItsEntryDied)
{
    test_fleet fleet { streamFleet };
    BOOST_REQUIRE(fleet.isReady());
    std::string requestId;
    streamed_answer first;
    std::thread caller { [&] { first = stream(fleet.daemons()[0].http, "moved", "sluice", 60); } };
    std::this_thread::sleep_for(milliseconds { 500 });
    fleet.daemons()[0].process->signal(SIGKILL);
    caller.join();
    BOOST_TEST(contentOf(first.text).empty());
    requestId = first.reply.headers["x-request-id"];
    BOOST_REQUIRE(!requestId.empty());
    const auto diedAt = std::chrono::steady_clock::now();
    const streamed_answer second = stream(fleet.daemons()[1].http, "moved", "sluice", 60, { { "X-Request-Id", requestId }, { "Last-Event-ID", lastEventId(first.text) } });
    BOOST_TEST_MESSAGE("resumed after " << std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - diedAt).count() << " ms");
    BOOST_TEST(second.reply.status == 200, second.reply.status << " " << second.text);
    // What each delivered of the one generation fits together without a gap or a repetition.
    const std::size_t end = first.text.rfind("\n\n");
    BOOST_REQUIRE(end != std::string::npos);
    BOOST_TEST(contentOf(first.text.substr(0, end + 2) + second.text) == expectedAnswer("hydro-large", "sluice", 60));
}

// Reads the raw bytes, since POCO's client takes a chunked body without its last chunk for a whole one.
static std::string rawAnswer(const std::string& address, const std::string& body)
{
    Poco::Net::StreamSocket socket { Poco::Net::SocketAddress { address } };
    socket.setReceiveTimeout(Poco::Timespan { 10, 0 });
    const std::string request = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nConnection: close\r\nX-Workspace: desk\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    socket.sendBytes(request.data(), static_cast<int>(request.size()));
    std::string answer;
    char buffer[4096];
    for (int count = socket.receiveBytes(buffer, sizeof buffer); count > 0; count = socket.receiveBytes(buffer, sizeof buffer))
        answer.append(buffer, static_cast<std::size_t>(count));
    return answer;
}

static constexpr std::string_view lastChunk = "\r\n0\r\n\r\n";

BOOST_AUTO_TEST_CASE(wholeStreamHasItsLastChunk)
{
    test_fleet fleet { streamFleet };
    BOOST_REQUIRE(fleet.isReady());
    BOOST_TEST(rawAnswer(fleet.daemons()[0].http, chatBody("weir", 5, true)).ends_with(lastChunk));
}

BOOST_AUTO_TEST_CASE(streamWhoseEngineDiesIsVisiblyBroken)
{
    test_fleet fleet { streamFleet };
    BOOST_REQUIRE(fleet.isReady());
    std::string answer;
    std::thread caller { [&] { answer = rawAnswer(fleet.daemons()[0].http, chatBody("weir", 200, true)); } };
    std::this_thread::sleep_for(milliseconds { 500 });
    for (fleet_member& engine : fleet.engines())
        engine.process->signal(SIGKILL);
    caller.join();
    BOOST_TEST(answer.find("event: error") != std::string::npos);
    BOOST_TEST(!answer.ends_with(lastChunk));
}

BOOST_AUTO_TEST_CASE(callerThatLeavesFreesItsSlot)
{
    test_fleet fleet { { .daemons = 2, .engines = 1, .plains = 0, .engineArguments = { "--token_interval_ms=50" } } };
    BOOST_REQUIRE(fleet.isReady());
    httpStream({ .method = "POST", .url = "http://" + fleet.daemons()[0].http + "/v1/chat/completions", .headers = { { "X-Workspace", "desk" } }, .body = chatBody("long", 400, true) },
        [](std::string_view line) { return !line.starts_with("data:"); });
    BOOST_TEST(waitUntil(milliseconds { 5000 }, [&] { return test_fleet::record(fleet.engines()[0].target).find("\"cancelled\":1") != std::string::npos; }));
}
