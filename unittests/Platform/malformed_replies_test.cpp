// Tests that replies of the platform which break off or are malformed are neither read as whole nor taken for a refusal.
#include "radishflow/Platform/platform_client.h"

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

enum class ending {
    Close,
    Reset, ///< After a time in which the client reads the reply.
    ResetAtOnce,
};

struct reply_case {
    const char* name;
    std::string bytes;
    ending end = ending::Close;
    bool isWhole = false; ///< The body is "whole" then.

    friend std::ostream& operator<<(std::ostream& out, const reply_case& testCase) { return out << testCase.name; }
};

const std::string head = "HTTP/1.1 200 OK\r\n";
const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n";

const reply_case replies[] {
    { "with a length", head + "Content-Length: 5\r\n\r\nwhole", ending::Close, true },
    { "with a length, reset", head + "Content-Length: 5\r\n\r\nwhole", ending::ResetAtOnce, true },
    { "in chunks", head + chunked + "X-Note: 1\r\n\r\n", ending::Close, true },
    { "after an interim response", "HTTP/1.1 103 Early Hints\r\nX-Note: 1\r\n\r\n" + head + chunked + "\r\n", ending::Close, true },
    { "neither length nor chunks, closed", head + "\r\nwhole", ending::Close, true },
    { "neither length nor chunks, reset", head + "\r\nwho", ending::Reset },
    { "neither length nor chunks, reset at once", head + "\r\nwho", ending::ResetAtOnce },
    { "part with a length", head + "Content-Length: 5\r\n\r\nwho" },
    { "part in chunks", head + "Transfer-Encoding: chunked\r\n\r\n3\r\nwho\r\n" },
    { "part in chunks, reset", head + "Transfer-Encoding: chunked\r\n\r\n3\r\nwho\r\n", ending::Reset },
    { "head without its end", head + "Content-Length: 0\r\n" },
    { "status 000", "HTTP/1.1 000 OK\r\n" + chunked + "\r\n" },
    { "status 099", "HTTP/1.1 099 OK\r\n" + chunked + "\r\n" },
    { "interim response with status 000", "HTTP/1.1 000 Hints\r\n\r\n" + head + chunked + "\r\n" },
    { "blank in a name", head + "X Note: 1\r\n" + chunked + "\r\n" },
    { "length with a blank behind its name", head + "Content-Length : 3\r\n\r\nwhole" },
    { "control byte in a name", head + "X\x01Note: 1\r\n" + chunked + "\r\n" },
    { "field behind a bare line feed", "HTTP/1.1 200 OK\nContent-Length: 3\r\n\r\nwhole" },
    { "length and chunks", head + "Content-Length: 3\r\n" + chunked + "\r\n" },
    { "trailer with a blank in its name", head + chunked + "X Note: 1\r\n\r\n" },
};

/// Replies to the first bytes of one request and ends the connection.
class one_reply {
public:
    explicit one_reply(const reply_case& testCase)
        : m_thread([this, &testCase] { serve(testCase); })
    {
    }

    platform_client client() const { return platform_client { { .address = m_listener.address().toString(), .timeout = 500ms } }; }

private:
    void serve(const reply_case& testCase)
    {
        Poco::Net::StreamSocket peer = m_listener.acceptConnection();
        std::array<char, 4096> request;
        peer.receiveBytes(request.data(), static_cast<int>(request.size()));
        peer.sendBytes(testCase.bytes.data(), static_cast<int>(testCase.bytes.size()));
        if (testCase.end == ending::Reset)
            std::this_thread::sleep_for(30ms);
        if (testCase.end != ending::Close)
            peer.setLinger(true, 0);
        peer.close();
    }

    Poco::Net::ServerSocket m_listener { Poco::Net::SocketAddress { "127.0.0.1:0" } };
    std::jthread m_thread;
};

template <typename Call>
std::string failureOf(const Call& call)
{
    return valueOr([&]() -> result<std::string> {
            BOOST_LEAF_CHECK(call());
            return std::string { "ok" }; },
        [](const failure& error) { return std::string { nameOf(error.code) }; });
}

} // namespace

BOOST_DATA_TEST_CASE(onlyWholeObjectsAreRead, boost::unit_test::data::make(replies), testCase)
{
    const one_reply server { testCase };
    const std::string bytes = valueOr([&] { return server.client().getObject("o"); }, [](const failure& error) { return std::string { nameOf(error.code) }; });
    BOOST_TEST(bytes == (testCase.isWhole ? "whole" : nameOf(failure_code::Broken)));
}

// A write that failed as refused counts as not done, so a reply that cannot be read must not be taken for a refusal.
BOOST_DATA_TEST_CASE(outcomeOfAWriteIsUnknownAfterAMalformedReply, boost::unit_test::data::make(replies), testCase)
{
    const one_reply server { testCase };
    BOOST_TEST(failureOf([&] { return server.client().putObject("o", "bytes"); }) == (testCase.isWhole ? "ok" : nameOf(failure_code::ReplyLost)));
}

// The platform closes with unread bytes of the request, which resets the connection.
BOOST_DATA_TEST_CASE(earlyReplyToALargeWriteIsWholeOrLost, boost::unit_test::data::make(replies), testCase)
{
    const one_reply server { testCase };
    const std::string outcome = failureOf([&] { return server.client().putObject("o", std::string(16U << 20U, 'x')); });
    BOOST_TEST((outcome == nameOf(failure_code::ReplyLost) || (outcome == "ok" && testCase.isWhole)), outcome);
}
