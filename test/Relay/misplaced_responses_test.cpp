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
