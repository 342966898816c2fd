// Tests that responses of faulty servers reach neither the wrong request nor the middle of a stream.
#include "relay_fleet.h"

#include <Poco/Net/StreamSocket.h>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <ostream>
#include <string>

using namespace radishflow;
using namespace std::chrono_literals;

namespace {

struct resumption_case {
    const char* name;
    int status; ///< Of the plain response with which the other servers answer the resumed stream.

    friend std::ostream& operator<<(std::ostream& out, const resumption_case& testCase) { return out << testCase.name; }
};

const resumption_case resumptions[] {
    { "success with a plain body", 200 },
    { "not found", 404 },
    { "server error", 500 },
};

struct stale_case {
    const char* name;
    std::string bytes;

    friend std::ostream& operator<<(std::ostream& out, const stale_case& testCase) { return out << testCase.name; }
};

const stale_case staleResponses[] {
    { "refusal without an id", "HTTP/1.1 503 Service Unavailable\r\n" + std::string { notRunField } + ": 1\r\nContent-Length: 0\r\n\r\n" },
    { "refusal of another request", "HTTP/1.1 503 Service Unavailable\r\nX-Request-Id: other\r\n" + std::string { notRunField } + ": 1\r\nContent-Length: 0\r\n\r\n" },
    { "misdirected without an id", "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n" },
    { "success without an id", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno" },
};

/// Places at which a response head breaks off, in bytes.
constexpr std::size_t headCuts[] { 1, 8, 12, 13, 15, 16, 17, 18, 30, 32, 33, 40, 55, 60, 70, 80, 90, 100, 110, 120, 130 };

struct head_cut_case {
    const char* name;
    const char* method;
    const char* path;
    bool isReset;

    friend std::ostream& operator<<(std::ostream& out, const head_cut_case& testCase) { return out << testCase.name; }
};

const head_cut_case headCutCases[] {
    { "read, closed", "GET", "/read/a", false },
    { "order, closed", "POST", "/order/a", false },
    { "order, reset", "POST", "/order/a", true },
    { "stream, closed", "GET", "/stream/a", false },
    { "stream, reset", "GET", "/stream/a", true },
};

/// Returns a request without a body, after which the daemon closes the connection.
std::string closingRequest(const std::string& methodAndPath, const test_request& request)
{
    const std::string head = writeRequestHead(methodAndPath + " HTTP/1.1", request);
    return head.substr(0, head.size() - 2) + "Connection: close\r\n\r\n";
}

/// Sends a request and returns all bytes that are received until the connection ends.
std::string exchangeBytes(const std::string& address, const std::string& request)
{
    Poco::Net::StreamSocket socket { Poco::Net::SocketAddress { address } };
    socket.sendBytes(request.data(), static_cast<int>(request.size()));
    std::string received;
    std::array<char, 4096> bytes;
    for (int count = 1; count > 0;) {
        count = socket.receiveBytes(bytes.data(), static_cast<int>(bytes.size()));
        received.append(bytes.data(), static_cast<std::size_t>(std::max(count, 0)));
    }
    return received;
}

} // namespace

BOOST_DATA_TEST_CASE(earlierResponseOnAKeptConnectionIsNotTakenForTheAnswer, boost::unit_test::data::make(staleResponses), testCase)
{
    constexpr int orders = 120;
    relay_fleet fleet { { .daemons = 1, .servers = 2, .behaviour = { .staleResponse = testCase.bytes } } };
    int served = 0;
    int refused = 0;
    for (int number = 0; number < orders; ++number) {
        const int status = fleet.call(0, "/order/a", "POST").status;
        served += status == 200 ? 1 : 0;
        refused += status == 503 || status == 429 ? 1 : 0;
    }
    BOOST_TEST_MESSAGE(testCase.name << ": " << served << " served, " << refused << " refused of " << orders << ", " << fleet.runs() << " runs");
    BOOST_TEST(refused == 0);
    BOOST_TEST(served == orders);
    BOOST_TEST(fleet.runs() == orders);
}

BOOST_DATA_TEST_CASE(plainResponseOfNextServerIsNotForwardedInsideAStream, boost::unit_test::data::make(resumptions), testCase)
{
    relay_fleet fleet { { .daemons = 1, .servers = 3, .behaviour = { .kind = server_response_kind::Cut, .resumedStatus = testCase.status } } };
    for (int number = 0; number < 6; ++number) {
        const std::string received = exchangeBytes(fleet.callerAddress(0), writeRequestHead("GET /resumable-stream/a HTTP/1.1", { .id = "s" + std::to_string(number), .key = relay_fleet::key, .timeLeft = 4s }, false));
        BOOST_TEST(received.starts_with("HTTP/1.1 200"));
        BOOST_TEST(received.find("token 2") != std::string::npos);
        BOOST_TEST(received.find("HTTP/1.1", 1) == std::string::npos);
        BOOST_TEST(received.find("plain text") == std::string::npos);
        BOOST_TEST(!received.ends_with("0\r\n\r\n"));
    }
}

// Guards against a success with an empty or short body that is framed as complete, although the server broke off in the head.
BOOST_DATA_TEST_CASE(headThatBreaksOffIsAFailure, boost::unit_test::data::make(headCutCases), testCase)
{
    relay_fleet fleet { { .daemons = 1, .servers = 2 } };
    for (const std::size_t cut : headCuts) {
        for (int server = 0; server < fleet.servers(); ++server)
            fleet.server(server).setBehaviour({ .kind = server_response_kind::CutInHead, .headBytesBeforeCut = cut, .isReset = testCase.isReset });
        const std::string received = exchangeBytes(fleet.callerAddress(0), closingRequest(std::string { testCase.method } + ' ' + testCase.path, { .id = "h" + std::to_string(cut), .key = relay_fleet::key, .timeLeft = 4s }));
        BOOST_TEST(received.starts_with("HTTP/1.1 502"), "cut after " << cut << " bytes: " << received.substr(0, received.find('\r')));
        BOOST_TEST(received.find(signatureField) == std::string::npos);
    }
}

// Guards against the end of a stream, or another response, in the place of its rest.
BOOST_DATA_TEST_CASE(headThatBreaksOffDoesNotEndAStreamThatHasBegun, boost::unit_test::data::make({ false, true }), isReset)
{
    relay_fleet fleet { { .daemons = 1, .servers = 3 } };
    for (const std::size_t cut : headCuts) {
        for (int server = 0; server < fleet.servers(); ++server)
            fleet.server(server).setBehaviour({ .kind = server_response_kind::CutInHead, .headBytesBeforeCut = cut, .isReset = isReset, .isOnlyResumedCut = true });
        const std::string received = exchangeBytes(fleet.callerAddress(0), closingRequest("GET /resumable-stream/a", { .id = "b" + std::to_string(cut), .key = relay_fleet::key, .timeLeft = 4s }));
        BOOST_TEST(received.starts_with("HTTP/1.1 200"));
        BOOST_TEST(received.find("token 2") != std::string::npos);
        BOOST_TEST(received.find("HTTP/1.1", 1) == std::string::npos);
        BOOST_TEST(!received.ends_with("0\r\n\r\n"));
    }
}

// Guards against a part of a body that the daemon cannot hold in the place of the whole.
BOOST_AUTO_TEST_CASE(bodyBeyondTheBufferIsAFailure)
{
    constexpr std::size_t maxBufferedBytes = 16U << 20U;
    relay_fleet fleet { { .daemons = 1, .servers = 2 } };
    for (const std::size_t size : { maxBufferedBytes, maxBufferedBytes + 1, maxBufferedBytes + 100000 }) {
        for (int server = 0; server < fleet.servers(); ++server)
            fleet.server(server).setBehaviour({ .bodyBytes = size });
        const std::string received = exchangeBytes(fleet.callerAddress(0), closingRequest("POST /order/a", { .id = "l" + std::to_string(size), .key = relay_fleet::key, .timeLeft = 4s }));
        const bool fits = size <= maxBufferedBytes;
        BOOST_TEST(received.starts_with(fits ? "HTTP/1.1 200" : "HTTP/1.1 502"));
        BOOST_TEST((received.size() > size) == fits);
    }
}

namespace {

/// Sends orders to a daemon that has lost all servers, until one was forwarded; returns false on timeout.
bool forwardsRequests(relay_fleet& fleet, int daemon)
{
    fleet.setServerPaths(daemon, path_state::Reset);
    return waitUntil(5s, [&] { return fleet.call(daemon, "/read/a").status == 200; });
}

} // namespace

// The daemon that forwards reads the refusal or the broken response of the one that reaches the servers.
BOOST_AUTO_TEST_CASE(headThatBreaksOffIsAFailureForForwardedRequests)
{
    relay_fleet fleet { { .daemons = 2, .servers = 2, .hasServerPaths = true } };
    BOOST_REQUIRE(forwardsRequests(fleet, 0));
    for (const std::size_t cut : headCuts) {
        for (const char* target : { "POST /order/a", "GET /stream/a" }) {
            for (int server = 0; server < fleet.servers(); ++server)
                fleet.server(server).setBehaviour({ .kind = server_response_kind::CutInHead, .headBytesBeforeCut = cut });
            const std::string received = exchangeBytes(fleet.callerAddress(0), closingRequest(target, { .id = "f" + std::to_string(cut) + (*target == 'P' ? "o" : "s"), .key = relay_fleet::key, .timeLeft = 4s }));
            BOOST_TEST(received.starts_with("HTTP/1.1 502"), "cut after " << cut << " bytes: " << received.substr(0, received.find('\r')));
        }
    }
}
