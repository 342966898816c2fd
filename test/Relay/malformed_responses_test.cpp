// Tests that responses which a faulty server breaks off or frames wrongly never reach callers as complete ones.
#include "radishflow/Relay/response_text.h"

#include "relay_fleet.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <ostream>
#include <string>
#include <vector>

using namespace radishflow;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t uploadBytes = 4U << 20U; // More than the relay sends at once.
constexpr auto callerTimeLeft = 8s;

const std::string fields = "X-Request-Id: {id}\r\n" + std::string { signatureField } + ": seal\r\n";
const std::string ok = "HTTP/1.1 200 OK\r\n";
const std::string success = ok + fields;
const std::string stream = success + "Content-Type: text/event-stream\r\n";
const std::string event = "id: 1\ndata: token\n\n";
const std::string laterEvent = "id: 3\ndata: token\n\n"; // Follows the events before a cut.

struct early_case {
    const char* name;
    const char* target;
    std::string response;
    bool isReset;
    received_response expected;
    std::chrono::milliseconds resetDelay { 0 };

    friend std::ostream& operator<<(std::ostream& out, const early_case& testCase) { return out << testCase.name; }
};

const received_response whole { .status = 200, .isComplete = true, .body = "whole" };
const received_response failure { .status = 502, .isComplete = true };
const received_response brokenStream { .status = 200, .isComplete = false, .body = event };
const received_response wholeStream { .status = 200, .isComplete = true, .body = event };

const early_case earlyResponses[] {
    { "part without a length, reset", "/order/a", success + "\r\nwho", true, failure },
    { "part of an error response without a length, reset", "/order/a", "HTTP/1.1 500 Internal Server Error\r\n" + fields + "\r\nwho", true, failure },
    { "part with a length, reset", "/order/a", success + "Content-Length: 5\r\n\r\nwho", true, failure },
    { "part in chunks, reset", "/order/a", success + "Transfer-Encoding: chunked\r\n\r\n3\r\nwho\r\n", true, failure },
    { "whole without a length, closed", "/order/a", success + "\r\nwhole", false, whole },
    { "whole with a length, closed", "/order/a", success + "Content-Length: 5\r\n\r\nwhole", false, whole },
    { "whole with a length, reset", "/order/a", success + "Content-Length: 5\r\n\r\nwhole", true, whole },
    { "whole in chunks, reset", "/order/a", success + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", true, whole },
    { "events without chunks, reset", "/stream/a", stream + "\r\n" + event, true, brokenStream },
    { "events without chunks, closed", "/stream/a", stream + "\r\n" + event, false, wholeStream },
    // The daemon has read the part and still sends, or waits until it can. A connection that is not closed in the response may be
    // reused, and the next request is then lost with it.
    { "part without a length, reset later", "/order/a", success + "\r\nwho", true, failure, 200ms },
    { "part with a length, reset later", "/order/a", success + "Content-Length: 5\r\n\r\nwho", true, failure, 200ms },
    { "whole with a length, reset later", "/order/a", success + "Connection: close\r\nContent-Length: 5\r\n\r\nwhole", true, whole, 200ms },
    { "events without chunks, reset later", "/stream/a", stream + "\r\n" + event, true, brokenStream, 200ms },
};

/// Sends an upload on a connection of its own.
received_response upload(const std::string& address, const std::string& target, const std::string& id)
{
    constexpr auto timeout = 10s; // Only ends a test that would hang.
    const std::string plain = writeRequestHead("POST " + target + " HTTP/1.1", { .id = id, .key = relay_fleet::key, .timeLeft = callerTimeLeft }, false);
    const std::string length = "Content-Length: " + std::to_string(uploadBytes) + "\r\n\r\n";
    caller_connection connection;
    BOOST_REQUIRE(connection.open(address));
    return connection.run(plain.substr(0, plain.size() - 2) + length + std::string(uploadBytes, 'x'), timeout);
}

/// Repeats a request that is refused as not run, as a caller does. `sendAs` sends it with the given id.
template <typename Sender>
received_response sendUntilRun(const std::string& id, const Sender& sendAs)
{
    constexpr int refused = 503;
    received_response received;
    int attempts = 0;
    waitUntil(callerTimeLeft, [&] {
        received = sendAs(id + '-' + std::to_string(++attempts));
        return received.status != refused;
    });
    return received;
}

void acceptUploads(relay_fleet& fleet)
{
    fleet.configure({ .version = 2, .workspaceKey = relay_fleet::key, .orderTimeout = callerTimeLeft, .maxBodyBytes = uploadBytes });
    for (int daemon = 0; daemon < fleet.daemons(); ++daemon)
        BOOST_REQUIRE(waitUntil(5s, [&] { return fleet.call(daemon, "/v2/a").status == 200; }));
}

/// Cuts a daemon from all servers and waits until it forwards requests.
void loseServers(relay_fleet& fleet, int daemon)
{
    fleet.setServerPaths(daemon, path_state::Reset);
    BOOST_REQUIRE(waitUntil(5s, [&] { return fleet.call(daemon, "/read/a").status == 200; }));
}

void setBehaviours(relay_fleet& fleet, const server_behaviour& behaviour)
{
    for (int server = 0; server < fleet.servers(); ++server)
        fleet.server(server).setBehaviour(behaviour);
}

/// Returns whether a response is the expected one. The body of a failure is the daemon's own.
bool isExpected(const received_response& received, const received_response& expected)
{
    return received.status == expected.status && received.isComplete == expected.isComplete && (expected.status != 200 || received.body == expected.body);
}

void checkUploads(relay_fleet& fleet, const early_case& testCase, int uploads)
{
    setBehaviours(fleet, { .kind = server_response_kind::Raw, .rawResponse = testCase.response, .isEarly = true, .isReset = testCase.isReset, .resetDelay = testCase.resetDelay });
    int expected = 0;
    int complete = 0;
    for (int number = 0; number < uploads; ++number) {
        const received_response received = sendUntilRun("u" + std::to_string(number), [&](const std::string& id) { return upload(fleet.callerAddress(0), testCase.target, id); });
        const bool isAsExpected = isExpected(received, testCase.expected);
        if (!isAsExpected)
            BOOST_TEST_MESSAGE(testCase.name << ": upload " << number << " ended with status " << received.status << ", complete: " << received.isComplete << ", body: " << received.body.substr(0, 200));
        expected += isAsExpected ? 1 : 0;
        complete += received.isComplete && received.status != 502 ? 1 : 0;
    }
    BOOST_TEST_MESSAGE(testCase.name << ": " << expected << " of " << uploads << " as expected, " << complete << " delivered as complete");
    BOOST_TEST(expected == uploads);
}

} // namespace

// Guards against a part of a response in the place of the whole, if the server resets the connection while the request is sent.
BOOST_DATA_TEST_CASE(earlyResponseToAnUploadIsWholeOrAFailure, boost::unit_test::data::make(earlyResponses), testCase)
{
    constexpr int uploads = 40;
    relay_fleet fleet { { .daemons = 1, .servers = 2 } };
    acceptUploads(fleet);
    checkUploads(fleet, testCase, uploads);
}

// The daemon that reaches the servers reads the response; the one that forwards reads that daemon's.
BOOST_DATA_TEST_CASE(earlyResponseToAForwardedUploadIsWholeOrAFailure, boost::unit_test::data::make(earlyResponses), testCase)
{
    constexpr int uploads = 20;
    relay_fleet fleet { { .daemons = 2, .servers = 2, .hasServerPaths = true, .isLastDaemonDirect = true } };
    acceptUploads(fleet);
    loseServers(fleet, 0);
    checkUploads(fleet, testCase, uploads);
}

namespace {

struct malformed_case {
    const char* name;
    std::string start; ///< Interim responses and the status line.
    std::string extraField; ///< Of the head.
    std::string trailer;
    std::string chunkExtension;

    friend std::ostream& operator<<(std::ostream& out, const malformed_case& testCase) { return out << testCase.name; }
};

const malformed_case malformedResponses[] {
    { "status 000", "HTTP/1.1 000 OK\r\n", "", "" },
    { "status 000 without a reason", "HTTP/1.1 000\r\n", "", "" },
    { "status 099", "HTTP/1.1 099 OK\r\n", "", "" },
    { "status 600", "HTTP/1.1 600 OK\r\n", "", "" },
    { "interim response with status 000", "HTTP/1.1 000 Hints\r\n\r\n" + ok, "", "" },
    { "blank in a name", ok, "X Note: 1\r\n", "" },
    { "blank behind a name", ok, "X-Note : 1\r\n", "" },
    { "length with a blank behind its name", ok, "Content-Length : 3\r\n", "" },
    { "folded field", ok, "X-Note: 1\r\n 2\r\n", "" },
    { "tab in a name", ok, "X\tNote: 1\r\n", "" },
    { "control byte in a name", ok, "X\x01Note: 1\r\n", "" },
    { "zero byte in a name", ok, std::string { "X" } + '\0' + "Note: 1\r\n", "" },
    { "line feed in a name", ok, "X\nNote: 1\r\n", "" },
    { "interim response with a blank in a name", "HTTP/1.1 103 Early Hints\r\nX Note: 1\r\n\r\n" + ok, "", "" },
    { "control byte in the reason", "HTTP/1.1 200 O\x01K\r\n", "", "" },
    { "field behind a bare line feed", "HTTP/1.1 200 OK\nX-Note: 1\r\n", "", "" },
    { "interim response with a field behind a bare line feed", "HTTP/1.1 103 Early Hints\nX-Note: 1\r\n\r\n" + ok, "", "" },
    { "bare line feed in a chunk extension", ok, "", "", ";x\nother" },
    { "control byte in a chunk extension", ok, "", "", ";x\x01" },
    { "trailer with a blank in its name", ok, "", "X Note: 1\r\n" },
    { "trailer with a blank behind its name", ok, "", "X-Note : 1\r\n" },
    { "trailer with a control byte in its name", ok, "", "X\x01Note: 1\r\n" },
    { "head of another response as a trailer", ok, "", ok },
};

/// Returns the response in chunks with the given content.
std::string inChunks(const malformed_case& testCase, const std::string& extraFields, const std::string& content)
{
    std::string text = testCase.start + fields + extraFields + testCase.extraField + "Transfer-Encoding: chunked\r\n\r\n";
    const std::size_t sizeAt = text.size();
    appendChunk(text, content);
    text.insert(text.find('\r', sizeAt), testCase.chunkExtension);
    return text + "0\r\n" + testCase.trailer + "\r\n";
}

/// Sends a request without a body on a connection of its own.
received_response send(const std::string& address, const std::string& target, const std::string& id)
{
    constexpr auto timeout = 10s; // Only ends a test that would hang.
    caller_connection connection;
    BOOST_REQUIRE(connection.open(address));
    return connection.run(writeRequestHead(target + " HTTP/1.1", { .id = id, .key = relay_fleet::key, .timeLeft = 4s }), timeout);
}

/// Checks that a malformed response becomes a failure, and in a stream at most one that is not complete.
void checkMalformed(relay_fleet& fleet, const malformed_case& testCase)
{
    for (const bool isReset : { false, true }) {
        setBehaviours(fleet, { .kind = server_response_kind::Raw, .rawResponse = inChunks(testCase, "", "whole"), .isReset = isReset });
        for (const char* target : { "POST /order/a", "GET /read/a" }) {
            const received_response received = sendUntilRun(std::string { isReset ? "r" : "c" } + target[0], [&](const std::string& id) { return send(fleet.callerAddress(0), target, id); });
            BOOST_TEST(received.status == 502, target << ": " << received.status << " \"" << received.body << '"');
        }
        setBehaviours(fleet, { .kind = server_response_kind::Raw, .rawResponse = inChunks(testCase, "Content-Type: text/event-stream\r\n", event), .isReset = isReset });
        const received_response received = sendUntilRun(isReset ? "sr" : "sc", [&](const std::string& id) { return send(fleet.callerAddress(0), "GET /stream/a", id); });
        const bool isBroken = !testCase.trailer.empty() && received.status == 200 && !received.isComplete && received.body == event;
        BOOST_TEST((received.status == 502 || isBroken), "stream: " << received.status << " \"" << received.body << '"');
    }
}

} // namespace

BOOST_DATA_TEST_CASE(malformedResponseIsAFailure, boost::unit_test::data::make(malformedResponses), testCase)
{
    relay_fleet fleet { { .daemons = 1, .servers = 2 } };
    checkMalformed(fleet, testCase);
}

BOOST_DATA_TEST_CASE(malformedResponseIsAFailureForForwardedRequests, boost::unit_test::data::make(malformedResponses), testCase)
{
    relay_fleet fleet { { .daemons = 2, .servers = 2, .hasServerPaths = true, .isLastDaemonDirect = true } };
    loseServers(fleet, 0);
    checkMalformed(fleet, testCase);
}

namespace {

bool hasResumedRequest(relay_fleet& fleet)
{
    for (int server = 0; server < fleet.servers(); ++server) {
        const std::vector<received_request> seen = fleet.server(server).seen();
        if (std::any_of(seen.begin(), seen.end(), [](const received_request& request) { return !request.resumeAfter.empty(); }))
            return true;
    }
    return false;
}

/// Sends streams until a server has received a resumed one, and checks that it is not complete. `hasLaterEvent` states whether
/// it contains the event of the resumed part.
template <typename Sender>
void checkResumedStream(relay_fleet& fleet, bool hasLaterEvent, const Sender& sendAs)
{
    received_response received;
    int streams = 0;
    // A daemon that has just started has no share of the retry budget yet.
    const bool isResumed = waitUntil(10s, [&] {
        received = sendAs("b" + std::to_string(++streams));
        return hasResumedRequest(fleet);
    });
    BOOST_REQUIRE(isResumed);
    BOOST_TEST(received.status == 200);
    BOOST_TEST(!received.isComplete);
    BOOST_TEST(received.body.starts_with("id: 1\n"));
    BOOST_TEST((received.body.find(laterEvent) != std::string::npos) == hasLaterEvent);
}

} // namespace

// Guards against the malformed response to a resend in the place of the rest of a stream.
BOOST_DATA_TEST_CASE(malformedResponseDoesNotEndAStreamThatHasBegun, boost::unit_test::data::make(malformedResponses), testCase)
{
    relay_fleet fleet { { .daemons = 1, .servers = 3 } };
    setBehaviours(fleet, { .kind = server_response_kind::Raw, .rawResponse = inChunks(testCase, "Content-Type: text/event-stream\r\n", laterEvent), .isOnlyResumedCut = true });
    // Events before a malformed trailer are those of the server.
    checkResumedStream(fleet, !testCase.trailer.empty(), [&](const std::string& id) { return send(fleet.callerAddress(0), "GET /resumable-stream/a", id); });
}

// Guards against a part of the rest of a stream in the place of the whole.
BOOST_AUTO_TEST_CASE(resetDuringAResentUploadDoesNotEndAStreamThatHasBegun)
{
    constexpr int runs = 10;
    const std::string resumedPart = stream + "\r\n" + laterEvent;
    for (int run = 0; run < runs; ++run) {
        relay_fleet fleet { { .daemons = 1, .servers = 3 } };
        acceptUploads(fleet);
        setBehaviours(fleet, { .kind = server_response_kind::Raw, .rawResponse = resumedPart, .isEarly = true, .isReset = true, .isOnlyResumedCut = true });
        checkResumedStream(fleet, true, [&](const std::string& id) { return upload(fleet.callerAddress(0), "/resumable-stream/a", id); });
    }
}
