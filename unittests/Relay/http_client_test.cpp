// Tests that http_client, which reads the store's responses and servers' reports, returns whole responses only.
#include "radishflow/Relay/http_client.h"

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <ostream>
#include <string>
#include <thread>

using namespace radishflow;
using namespace std::chrono_literals;

namespace {

struct response_case {
    const char* name;
    std::string bytes;
    bool isReset = false; ///< The connection is reset behind the response instead of closed.
    bool isWhole = false; ///< The body is "whole" then.

    friend std::ostream& operator<<(std::ostream& out, const response_case& testCase) { return out << testCase.name; }
};

const std::string head = "HTTP/1.1 200 OK\r\n";
const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n";

const response_case responses[] {
    { "with a length", head + "Content-Length: 5\r\n\r\nwhole", false, true },
    { "with a length, reset", head + "Content-Length: 5\r\n\r\nwhole", true, true },
    { "in chunks", head + chunked + "\r\n", false, true },
    { "in chunks, with a trailer", head + chunked + "X-Note: 1\r\n\r\n", false, true },
    { "after an interim response", "HTTP/1.1 103 Early Hints\r\nX-Note: 1\r\n\r\n" + head + chunked + "\r\n", false, true },
    { "neither length nor chunks, closed", head + "\r\nwhole", false, true },
    { "neither length nor chunks, reset", head + "\r\nwho", true },
    { "part with a length", head + "Content-Length: 5\r\n\r\nwho" },
    { "part in chunks", head + "Transfer-Encoding: chunked\r\n\r\n3\r\nwho\r\n" },
    { "status 000", "HTTP/1.1 000 OK\r\n" + chunked + "\r\n" },
    { "interim response with status 000", "HTTP/1.1 000 Hints\r\n\r\n" + head + chunked + "\r\n" },
    { "blank in a name", head + "X Note: 1\r\n" + chunked + "\r\n" },
    { "length with a blank behind its name", head + "Content-Length : 3\r\n\r\nwhole" },
    { "control byte in a name", head + "X\x01Note: 1\r\n" + chunked + "\r\n" },
    { "interim response with a blank in a name", "HTTP/1.1 103 Early Hints\r\nX Note: 1\r\n\r\n" + head + chunked + "\r\n" },
    { "control byte in the reason", "HTTP/1.1 200 O\x01K\r\n" + chunked + "\r\n" },
    { "field behind a bare line feed", "HTTP/1.1 200 OK\nContent-Length: 3\r\n\r\nwhole" },
    { "bare line feed in a chunk extension", head + "Transfer-Encoding: chunked\r\n\r\n5;x\nwhole\r\nother\r\n0\r\n\r\n" },
    { "trailer with a blank in its name", head + chunked + "X Note: 1\r\n\r\n" },
    { "trailer with a control byte in its name", head + chunked + "X\x01Note: 1\r\n\r\n" },
};

/// Responds to the first bytes of one request and ends the connection.
void respondOnce(Poco::Net::ServerSocket& listener, const response_case& testCase)
{
    Poco::Net::StreamSocket connection = listener.acceptConnection();
    std::array<char, 1024> request;
    connection.receiveBytes(request.data(), static_cast<int>(request.size()));
    connection.sendBytes(testCase.bytes.data(), static_cast<int>(testCase.bytes.size()));
    if (testCase.isReset)
        connection.setLinger(true, 0);
    connection.close();
}

std::string bodyOf(const response_case& testCase, const std::string& method, const std::string& requestBody)
{
    Poco::Net::ServerSocket listener { Poco::Net::SocketAddress { "127.0.0.1:0" } };
    const std::jthread server { [&] { respondOnce(listener, testCase); } };
    http_client client { { .address = listener.address().toString(), .connectTimeout = 1s, .maxSilence = 5s, .maxBodyBytes = 4096 } };
    return valueOr([&]() -> result<std::string> {
            BOOST_LEAF_AUTO(response, client.call(method, "/", requestBody, 1s));
            return response.body; },
        [](const failure&) { return std::string { "failed" }; });
}

} // namespace

BOOST_DATA_TEST_CASE(onlyWholeResponsesAreReturned, boost::unit_test::data::make(responses), testCase)
{
    BOOST_TEST(bodyOf(testCase, "GET", {}) == (testCase.isWhole ? "whole" : "failed"));
}

// The server closes with unread bytes of the request, which resets the connection.
BOOST_DATA_TEST_CASE(brokenResponseToAnUploadIsAFailure, boost::unit_test::data::make(responses), testCase)
{
    if (!testCase.isWhole)
        BOOST_TEST(bodyOf(testCase, "POST", std::string(4U << 20U, 'x')) == "failed");
}
