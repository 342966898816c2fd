// Tests that a response which a backend server breaks off is never taken for a complete one.
#include "radishflow/Backend/backend_client.h"

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
    std::string bytes; ///< Of the complete response.
    std::string body;

    friend std::ostream& operator<<(std::ostream& out, const response_case& testCase) { return out << testCase.name; }
};

const response_case responses[] {
    { "with a length", "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 10\r\n\r\n0123456789", "0123456789" },
    { "in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Type: text/plain\r\n\r\n6\r\n012345\r\n4\r\n6789\r\n0\r\n\r\n", "0123456789" },
    { "without a body", "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 0\r\n\r\n", "" },
    { "in chunks, after an interim response", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n", "x" },
};

enum class ending {
    Close,
    Reset, ///< After a time in which the client reads the response.
    End, ///< Ends the sending side and reads until the client closes the connection.
    EndAndReset, ///< Ends the sending side and resets the connection afterwards.
    Stay, ///< Reads until the client closes the connection.
    CloseUnread, ///< Closes the connection once bytes of the request are unread, which resets it.
};

std::ostream& operator<<(std::ostream& out, ending end)
{
    constexpr std::array<const char*, 6> names { "Close", "Reset", "End", "EndAndReset", "Stay", "CloseUnread" };
    return out << names.at(static_cast<std::size_t>(end));
}

/// A server that answers one connection with the given bytes and ends it.
class one_response {
public:
    one_response(std::string bytes, bool isReset)
        : one_response(std::move(bytes), isReset ? ending::Reset : ending::Close)
    {
    }
    one_response(std::string bytes, ending end)
        : m_thread([this, bytes = std::move(bytes), end] { serve(bytes, end); })
    {
    }
    ~one_response() { m_thread.join(); }

    server_id address() const { return server_id { m_listener.address().toString() }; }

private:
    void serve(const std::string& bytes, ending end)
    {
        Poco::Net::StreamSocket peer = m_listener.acceptConnection();
        std::array<char, 65536> request;
        peer.receiveBytes(request.data(), static_cast<int>(request.size()));
        if (!bytes.empty())
            peer.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
        if (end == ending::End || end == ending::EndAndReset)
            peer.shutdownSend();
        // Without unread bytes, closing ends the connection cleanly instead of resetting it.
        if (end == ending::CloseUnread)
            peer.poll(Poco::Timespan { 5, 0 }, Poco::Net::Socket::SELECT_READ);
        while ((end == ending::End || end == ending::Stay) && peer.receiveBytes(request.data(), static_cast<int>(request.size())) > 0) { }
        if (end == ending::Reset || end == ending::EndAndReset) {
            std::this_thread::sleep_for(5ms); // Time to read what was sent.
            peer.setLinger(true, 0);
        }
        peer.close();
    }

    Poco::Net::ServerSocket m_listener { Poco::Net::SocketAddress { "127.0.0.1:0" } };
    std::thread m_thread;
};

const write_gate openGate {
    .acquire = [] { return std::variant<term_number, refusal> { term_number { 1 } }; },
    .written = [](term_number) {},
    .released = [](term_number) {},
    .firstByte = [](std::chrono::milliseconds) {},
    .reset = [] {},
};

answer_part readAll(answer_buffer& answer)
{
    constexpr std::size_t maxBytes = 4096;
    answer_part whole;
    while (!whole.finished && !whole.broken) {
        const answer_part part = answer.read(whole.data.size(), 100ms, maxBytes);
        whole.data += part.data;
        whole.status = part.status;
        whole.finished = part.finished;
        whole.broken = part.broken || part.refused;
    }
    return whole;
}

} // namespace

BOOST_DATA_TEST_CASE(onlyACompleteResponseIsForwardedAsOne, boost::unit_test::data::make(responses) * boost::unit_test::data::make({ false, true }), testCase, isReset)
{
    for (std::size_t length = 0; length <= testCase.bytes.size(); ++length) {
        const one_response server { testCase.bytes.substr(0, length), isReset };
        answer_buffer answer { 65536 };
        const backend_client client { {} };
        const exchange_outcome outcome = client.run({ .request = request_id { "r" }, .server = server.address(), .method = "GET", .path = "/", .timeLeft = 2s }, openGate, answer);
        const bool isComplete = length == testCase.bytes.size();
        const answer_part received = readAll(answer);
        BOOST_TEST(outcome.isWhole == isComplete, testCase.name << ", cut after " << length << " bytes");
        BOOST_TEST(received.finished == isComplete, testCase.name << ", cut after " << length << " bytes: \"" << received.data << '"');
        if (isComplete)
            BOOST_TEST(received.data == testCase.body);
    }
}

BOOST_DATA_TEST_CASE(onlyACompletePageIsRead, boost::unit_test::data::make(responses), testCase)
{
    for (std::size_t length = 0; length <= testCase.bytes.size(); ++length) {
        const one_response server { testCase.bytes.substr(0, length), false };
        const std::string page = valueOr([&] { return backend_client { {} }.readPage(server.address(), "/metrics"); }, [](const failure&) { return std::string { "failed" }; });
        BOOST_TEST(page == (length == testCase.bytes.size() ? testCase.body : "failed"), testCase.name << ", cut after " << length << " bytes: \"" << page << '"');
    }
}

namespace {

struct malformed_case {
    const char* name;
    std::string bytes;

    friend std::ostream& operator<<(std::ostream& out, const malformed_case& testCase) { return out << testCase.name; }
};

const std::string head = "HTTP/1.1 200 OK\r\n";
const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n";

const malformed_case malformedResponses[] {
    { "status 000", "HTTP/1.1 000 OK\r\n" + chunked + "\r\n" },
    { "interim response with status 000", "HTTP/1.1 000 Hints\r\n\r\n" + head + chunked + "\r\n" },
    { "blank in a name", head + "X Note: 1\r\n" + chunked + "\r\n" },
    { "length with a blank behind its name", head + "Content-Length : 3\r\n" + chunked + "\r\n" },
    { "control byte in a name", head + "X\x01Note: 1\r\n" + chunked + "\r\n" },
    { "interim response with a blank in a name", "HTTP/1.1 103 Early Hints\r\nX Note: 1\r\n\r\n" + head + chunked + "\r\n" },
    { "control byte in the reason", "HTTP/1.1 200 O\x01K\r\n" + chunked + "\r\n" },
    { "field behind a bare line feed", "HTTP/1.1 200 OK\nX-Note: 1\r\n" + chunked + "\r\n" },
    { "trailer with a blank in its name", head + chunked + "X Note: 1\r\n\r\n" },
    { "trailer with a control byte in its name", head + chunked + "X\x01Note: 1\r\n\r\n" },
};

} // namespace

BOOST_DATA_TEST_CASE(malformedResponseIsBrokenOff, boost::unit_test::data::make(malformedResponses) * boost::unit_test::data::make({ false, true }), testCase, isReset)
{
    const one_response server { testCase.bytes, isReset };
    answer_buffer answer { 65536 };
    const exchange_outcome outcome = backend_client { {} }.run({ .request = request_id { "r" }, .server = server.address(), .method = "GET", .path = "/", .timeLeft = 2s }, openGate, answer);
    BOOST_TEST(!outcome.isWhole);
    const answer_part received = readAll(answer);
    BOOST_TEST(!received.finished);
    BOOST_TEST(received.status == 0);
}

BOOST_DATA_TEST_CASE(malformedPageIsAFailure, boost::unit_test::data::make(malformedResponses), testCase)
{
    const one_response server { testCase.bytes, false };
    BOOST_TEST(valueOr([&] { return backend_client { {} }.readPage(server.address(), "/metrics"); }, [](const failure&) { return std::string { "failed" }; }) == "failed");
}

namespace {

constexpr std::size_t uploadBytes = 16U << 20U; // More than the buffers of the connection hold.

struct early_case {
    const char* name;
    std::string bytes;
    bool isWhole;

    friend std::ostream& operator<<(std::ostream& out, const early_case& testCase) { return out << testCase.name; }
};

const early_case earlyResponses[] {
    { "part without a length", head + "\r\nwho", false },
    { "part with a length", head + "Content-Length: 5\r\n\r\nwho", false },
    { "part in chunks", head + "Transfer-Encoding: chunked\r\n\r\n3\r\nwho\r\n", false },
    { "whole with a length", head + "Content-Length: 5\r\n\r\nwhole", true },
    { "whole in chunks", head + chunked + "\r\n", true },
};

} // namespace

BOOST_DATA_TEST_CASE(earlyResponseToAnUploadIsWholeOrBrokenOff, boost::unit_test::data::make(earlyResponses) * boost::unit_test::data::make({ ending::CloseUnread, ending::Reset }), testCase, end)
{
    const one_response server { testCase.bytes, end };
    answer_buffer answer { 65536 };
    const exchange_outcome outcome = backend_client { {} }.run({ .request = request_id { "r" }, .server = server.address(), .method = "POST", .path = "/", .body = std::string(uploadBytes, 'x'), .timeLeft = 5s }, openGate, answer);
    BOOST_TEST(outcome.isWhole == testCase.isWhole);
    const answer_part received = readAll(answer);
    BOOST_TEST(received.finished == testCase.isWhole);
    BOOST_TEST(received.data == (testCase.isWhole ? "whole" : ""));
}

namespace {

struct unframed_case {
    const char* name;
    std::size_t requestBytes;
    ending end;
    bool isWhole;

    friend std::ostream& operator<<(std::ostream& out, const unframed_case& testCase) { return out << testCase.name; }
};

const unframed_case unframedResponses[] {
    { "closed", 0, ending::Close, true },
    { "ended", 0, ending::End, true },
    { "ended, then reset", 0, ending::EndAndReset, true },
    { "reset", 0, ending::Reset, false },
    { "silent", 0, ending::Stay, false },
    { "upload, ended", uploadBytes, ending::End, true },
    { "upload, ended, then reset", uploadBytes, ending::EndAndReset, true },
    { "upload, reset", uploadBytes, ending::Reset, false },
    { "upload, closed with unread bytes", uploadBytes, ending::CloseUnread, false },
};

} // namespace

BOOST_DATA_TEST_CASE(unframedResponseIsWholeIfItsConnectionEnds, boost::unit_test::data::make(unframedResponses), testCase)
{
    const one_response server { head + "\r\nwhole", testCase.end };
    answer_buffer answer { 65536 };
    const exchange_outcome outcome = backend_client { {} }.run({ .request = request_id { "r" }, .server = server.address(), .method = "POST", .path = "/", .body = std::string(testCase.requestBytes, 'x'), .timeLeft = 2s }, openGate, answer);
    BOOST_TEST(outcome.isWhole == testCase.isWhole);
    const answer_part received = readAll(answer);
    BOOST_TEST(received.finished == testCase.isWhole);
    BOOST_TEST(received.data == (testCase.isWhole ? "whole" : ""));
}
