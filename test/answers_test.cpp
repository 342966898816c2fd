// Tests that, while streams are interrupted, every caller receives either the complete response to its own request or
// one that is recognizably incomplete.
#include "radishflow/Emulator/expected_answer.h"

#include "test_fleet.h"

#include <Poco/Net/StreamSocket.h>
#include <boost/test/unit_test.hpp>

#include <atomic>
#include <csignal>
#include <functional>
#include <thread>
#include <vector>

using namespace radishflow;
using std::chrono::milliseconds;

static const test_fleet_options streamFleet { .daemons = 3, .engines = 3, .plains = 0, .engineArguments = { "--token_interval_ms=15", "--resume_ms=20000" } };

struct streamed_response {
    http_call_reply reply;
    std::string text;
};

static streamed_response streamWithoutRetry(const std::string& address, const std::string& chat, const std::string& prompt, int tokens, std::map<std::string, std::string> headers, milliseconds timeout = milliseconds { 8000 })
{
    headers.insert({ { "X-Workspace", "desk" }, { "X-Chat", chat } });
    streamed_response response;
    response.reply = httpStream({ .method = "POST", .url = "http://" + address + "/v1/chat/completions", .headers = headers, .body = chatBody(prompt, tokens, true), .timeout = timeout },
        [&](std::string_view line) {
            response.text.append(line).append("\n");
            return true;
        });
    return response;
}

// Retries while the response is 503 (the request was not run), as happens while servers are cold.
static streamed_response stream(const std::string& address, const std::string& chat, const std::string& prompt, int tokens, const std::map<std::string, std::string>& headers = {})
{
    streamed_response response;
    waitUntil(milliseconds { 12000 }, [&] {
        response = streamWithoutRetry(address, chat, prompt, tokens, headers);
        return response.reply.status != 503;
    });
    return response;
}

// Returns the id of the last event received, which a caller sends as Last-Event-ID in order to resume; "0" if there was none.
static std::string lastEventId(const std::string& text)
{
    const std::size_t position = text.rfind("id: ");
    return position == std::string::npos ? "0" : text.substr(position + 4, text.find('\n', position) - position - 4);
}

BOOST_AUTO_TEST_CASE(concurrentStreamsDeliverEachCallerItsOwnResponse)
{
    test_fleet fleet { streamFleet };
    BOOST_REQUIRE(fleet.isReady());
    std::atomic<int> correct = 0;
    std::vector<std::thread> callers;
    callers.reserve(12);
    for (int caller = 0; caller < 12; ++caller) {
        callers.emplace_back([&, caller] {
            const std::string prompt = "prompt " + std::to_string(caller);
            const streamed_response response = stream(fleet.daemons()[static_cast<std::size_t>(caller) % 3].http, "chat-" + std::to_string(caller), prompt, 20);
            correct += contentOf(response.text) == expectedAnswer("hydro-large", prompt, 20) ? 1 : 0;
        });
    }
    for (std::thread& caller : callers)
        caller.join();
    BOOST_TEST(correct == 12);
}

BOOST_AUTO_TEST_CASE(streamInterruptedByTheEngineIsResumedAtItsOffset)
{
    test_fleet fleet { streamFleet };
    BOOST_REQUIRE(fleet.isReady());
    for (const fleet_member& engine : fleet.engines())
        test_fleet::setFaults(engine.target, R"({"cut_after_tokens":5})");
    const streamed_response response = stream(fleet.daemons()[0].http, "cut", "draw-down", 20);
    BOOST_TEST(contentOf(response.text) == expectedAnswer("hydro-large", "draw-down", 20));
    int resumed = 0;
    for (const fleet_member& engine : fleet.engines())
        resumed += test_fleet::record(engine.target).find("\"resumed\":1") != std::string::npos ? 1 : 0;
    BOOST_TEST(resumed == 1);
}

BOOST_AUTO_TEST_CASE(callerResumesAtAnotherDaemonAfterItsDaemonWasKilled)
{
    test_fleet fleet { streamFleet };
    BOOST_REQUIRE(fleet.isReady());
    std::string requestId;
    streamed_response first;
    std::thread caller { [&] { first = stream(fleet.daemons()[0].http, "moved", "sluice", 60); } };
    std::this_thread::sleep_for(milliseconds { 500 });
    fleet.daemons()[0].process->signal(SIGKILL);
    caller.join();
    BOOST_TEST(contentOf(first.text).empty());
    requestId = first.reply.headers["x-request-id"];
    BOOST_REQUIRE(!requestId.empty());
    const auto killedAt = std::chrono::steady_clock::now();
    const streamed_response second = stream(fleet.daemons()[1].http, "moved", "sluice", 60, { { "X-Request-Id", requestId }, { "Last-Event-ID", lastEventId(first.text) } });
    BOOST_TEST_MESSAGE("resumed after " << std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - killedAt).count() << " ms");
    BOOST_TEST(second.reply.status == 200, second.reply.status << " " << second.text);
    // The parts delivered by the two daemons join to the complete response, without a gap or a repetition.
    const std::size_t lastEventEnd = first.text.rfind("\n\n");
    BOOST_REQUIRE(lastEventEnd != std::string::npos);
    BOOST_TEST(contentOf(first.text.substr(0, lastEventEnd + 2) + second.text) == expectedAnswer("hydro-large", "sluice", 60));
}

// The second daemon sends resumed requests to the first, which accepts them and ends without a reply.
BOOST_AUTO_TEST_CASE(callersResumeWhileTheirDaemonIsDying)
{
    constexpr int chats = 8; // Enough for one at an engine that the first daemon owns.
    constexpr milliseconds pauseTimeout { 300 };
    test_fleet fleet { streamFleet };
    BOOST_REQUIRE(fleet.isReady());
    for (int chat = 0; chat < chats; ++chat)
        stream(fleet.daemons()[1].http, "moved-" + std::to_string(chat), "warm up", 2);
    child_process& dying = *fleet.daemons()[0].process;
    std::vector<streamed_response> first(chats);
    const auto runAll = [&](const std::function<void(std::size_t)>& run) {
        std::vector<std::thread> callers;
        callers.reserve(chats);
        for (std::size_t chat = 0; chat < chats; ++chat)
            callers.emplace_back(run, chat);
        return callers;
    };
    std::vector<std::thread> callers = runAll([&](std::size_t chat) { first[chat] = streamWithoutRetry(fleet.daemons()[0].http, "moved-" + std::to_string(chat), "sluice", 60, {}, pauseTimeout); });
    std::this_thread::sleep_for(milliseconds { 500 });
    dying.signal(SIGSTOP);
    for (std::thread& caller : callers)
        caller.join();
    std::vector<std::string> joined(chats);
    std::vector<streamed_response> second(chats);
    callers = runAll([&](std::size_t chat) {
        joined[chat] = first[chat].text.substr(0, first[chat].text.rfind("\n\n") + 2);
        second[chat] = stream(fleet.daemons()[1].http, "moved-" + std::to_string(chat), "sluice", 60, { { "X-Request-Id", first[chat].reply.headers["x-request-id"] }, { "Last-Event-ID", lastEventId(joined[chat]) } });
        joined[chat] += second[chat].text;
    });
    std::this_thread::sleep_for(milliseconds { 700 });
    dying.signal(SIGKILL);
    for (std::thread& caller : callers)
        caller.join();
    int resumed = 0;
    for (std::size_t chat = 0; chat < chats; ++chat) {
        if (first[chat].reply.status != 200 || first[chat].text.find("id: ") == std::string::npos)
            continue; // Refused by a cold engine.
        ++resumed;
        BOOST_TEST(second[chat].reply.status == 200, second[chat].reply.status << " " << second[chat].text);
        BOOST_TEST(contentOf(joined[chat]) == expectedAnswer("hydro-large", "sluice", 60));
    }
    BOOST_TEST(resumed >= chats / 2);
}

// Reads the raw bytes, since POCO's client accepts a chunked body without its last chunk as complete.
static std::string rawResponse(const std::string& address, const std::string& body)
{
    Poco::Net::StreamSocket socket { Poco::Net::SocketAddress { address } };
    socket.setReceiveTimeout(Poco::Timespan { 10, 0 });
    const std::string request = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nConnection: close\r\nX-Workspace: desk\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    socket.sendBytes(request.data(), static_cast<int>(request.size()));
    std::string response;
    char buffer[4096];
    for (int count = socket.receiveBytes(buffer, sizeof buffer); count > 0; count = socket.receiveBytes(buffer, sizeof buffer))
        response.append(buffer, static_cast<std::size_t>(count));
    return response;
}

static constexpr std::string_view lastChunk = "\r\n0\r\n\r\n";

BOOST_AUTO_TEST_CASE(completeStreamEndsWithTheLastChunk)
{
    test_fleet fleet { streamFleet };
    BOOST_REQUIRE(fleet.isReady());
    BOOST_TEST(rawResponse(fleet.daemons()[0].http, chatBody("weir", 5, true)).ends_with(lastChunk));
}

BOOST_AUTO_TEST_CASE(streamWhoseEngineIsKilledEndsWithAnErrorEventAndNoLastChunk)
{
    test_fleet fleet { streamFleet };
    BOOST_REQUIRE(fleet.isReady());
    std::string response;
    std::thread caller { [&] { response = rawResponse(fleet.daemons()[0].http, chatBody("weir", 200, true)); } };
    std::this_thread::sleep_for(milliseconds { 500 });
    for (fleet_member& engine : fleet.engines())
        engine.process->signal(SIGKILL);
    caller.join();
    BOOST_TEST(response.find("event: error") != std::string::npos);
    BOOST_TEST(!response.ends_with(lastChunk));
}

BOOST_AUTO_TEST_CASE(disconnectedCallerCancelsItsRequestAtTheEngine)
{
    test_fleet fleet { { .daemons = 2, .engines = 1, .plains = 0, .engineArguments = { "--token_interval_ms=50" } } };
    BOOST_REQUIRE(fleet.isReady());
    httpStream({ .method = "POST", .url = "http://" + fleet.daemons()[0].http + "/v1/chat/completions", .headers = { { "X-Workspace", "desk" } }, .body = chatBody("long", 400, true) },
        [](std::string_view line) { return !line.starts_with("data:"); });
    BOOST_TEST(waitUntil(milliseconds { 5000 }, [&] { return test_fleet::record(fleet.engines()[0].target).find("\"cancelled\":1") != std::string::npos; }));
}
