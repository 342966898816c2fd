// Tests the exchange of one request with one server for each way in which the server can answer or fail.
#include "radishflow/Relay/server_exchange.h"
#include "radishflow/Support/boottime_clock.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <string>
#include <sys/socket.h>
#include <thread>

using namespace radishflow;
using namespace std::chrono_literals;

namespace {

enum class ending {
    Stay,
    Close,
    Reset,
};

struct exchange_case {
    const char* name;
    std::string response;
    ending end;
    exchange_state state;
    body_read_result body;
    bool isPooled;
};

std::ostream& operator<<(std::ostream& out, const exchange_case& each) { return out << each.name; }

const std::string completeResponse = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\nok";
const std::string foreignResponse = "HTTP/1.1 200 OK\r\nX-Id: 0\r\nContent-Length: 3\r\n\r\nold";

const exchange_case exchanges[] {
    { "complete", completeResponse, ending::Stay, exchange_state::Succeeded, body_read_result::Complete, true },
    { "interim response first", "HTTP/1.1 103 Early Hints\r\n\r\n" + completeResponse, ending::Stay, exchange_state::Succeeded, body_read_result::Complete, true },
    { "bytes after the response", completeResponse + "HTTP", ending::Stay, exchange_state::Succeeded, body_read_result::Complete, false },
    { "response to an earlier request first", foreignResponse + completeResponse, ending::Stay, exchange_state::Succeeded, body_read_result::Complete, false },
    { "server closes afterwards", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", ending::Close, exchange_state::Succeeded, body_read_result::Complete, false },
    { "unframed, clean close", "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nok", ending::Close, exchange_state::Succeeded, body_read_result::Complete, false },
    { "unframed, reset", "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nok", ending::Reset, exchange_state::Succeeded, body_read_result::Broken, false },
    { "truncated body", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 9\r\n\r\nok", ending::Close, exchange_state::Succeeded, body_read_result::Broken, false },
    { "last chunk missing", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", ending::Close, exchange_state::Succeeded, body_read_result::Broken, false },
    { "body stalls", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 9\r\n\r\nok", ending::Stay, exchange_state::Succeeded, body_read_result::TimedOut, false },
    { "no response", "", ending::Close, exchange_state::MayHaveRun, body_read_result::Broken, false },
    { "reset", "", ending::Reset, exchange_state::MayHaveRun, body_read_result::Broken, false },
    { "truncated head", "HTTP/1.1 200 OK\r\nX-", ending::Close, exchange_state::MayHaveRun, body_read_result::Broken, false },
    { "not HTTP", "garbage\r\n\r\n", ending::Stay, exchange_state::MayHaveRun, body_read_result::Broken, false },
    { "no response before the deadline", "", ending::Stay, exchange_state::TimedOut, body_read_result::Broken, false },
};

constexpr auto exchangeTimeout = 300ms;

/// Connected pair of sockets: `near` is the relay's end of a caller's connection, `far` the caller's.
struct socket_pair {
    Poco::Net::ServerSocket listener { Poco::Net::SocketAddress { "127.0.0.1:0" } };
    Poco::Net::StreamSocket near { listener.address() };
    Poco::Net::StreamSocket far = listener.acceptConnection();
};

listed_server serverAt(const Poco::Net::ServerSocket& socket)
{
    return { .id = server_id { "s" }, .address = socket.address().toString() };
}

exchange_options optionsFor(const listed_server& server, const relay_socket& caller, duration timeout = exchangeTimeout)
{
    const time_point deadline = boottime_clock {}.now() + timeout;
    return { .server = server, .caller = caller, .deadline = deadline, .headDeadline = deadline, .connectTimeout = 200ms, .maxIdleTime = 10s };
}

bool hasExpectedId(const response_head& head)
{
    const std::string* id = head.fields.find("X-Id");
    return id && *id == "1";
}

void respondOnce(Poco::Net::ServerSocket& socket, const exchange_case& each, std::atomic<bool>& shouldStop)
{
    Poco::Net::StreamSocket peer = socket.acceptConnection();
    char request[256];
    peer.receiveBytes(request, sizeof request);
    if (!each.response.empty())
        peer.sendBytes(each.response.data(), static_cast<int>(each.response.size()));
    if (each.end == ending::Reset) {
        std::this_thread::sleep_for(30ms);
        peer.setLinger(true, 0);
    }
    if (each.end == ending::Stay) {
        while (!shouldStop)
            std::this_thread::sleep_for(2ms);
    }
    peer.close();
}

body_read_result readBody(server_exchange& exchange, std::string& body)
{
    body_read_result result = body_read_result::Data;
    while (result == body_read_result::Data)
        result = exchange.read(body);
    return result;
}

} // namespace

BOOST_DATA_TEST_CASE(everyWayInWhichAResponseEndsIsReported, boost::unit_test::data::make(exchanges), each)
{
    Poco::Net::ServerSocket socket { Poco::Net::SocketAddress { "127.0.0.1:0" } };
    std::atomic<bool> shouldStop = false;
    std::thread server { [&] { respondOnce(socket, each, shouldStop); } };
    socket_pair callerPair;
    const relay_socket caller { callerPair.near };
    server_connection_pool connections;
    const listed_server listed = serverAt(socket);
    {
        server_exchange exchange { connections, optionsFor(listed, caller) };
        BOOST_TEST((exchange.start("GET / HTTP/1.1\r\n\r\n", "", hasExpectedId) == each.state));
        if (each.state == exchange_state::Succeeded) {
            std::string body;
            BOOST_TEST((readBody(exchange, body) == each.body));
            BOOST_TEST(body == "ok");
            exchange.releaseConnection();
        }
    }
    BOOST_TEST(connections.acquire(listed.id, boottime_clock {}.now(), 10s).has_value() == each.isPooled);
    shouldStop = true;
    server.join();
}

BOOST_AUTO_TEST_CASE(refusedConnectionIsReportedAsNotSent)
{
    listed_server listed;
    {
        Poco::Net::ServerSocket socket { Poco::Net::SocketAddress { "127.0.0.1:0" } };
        listed = serverAt(socket);
    }
    socket_pair callerPair;
    const relay_socket caller { callerPair.near };
    server_connection_pool connections;
    server_exchange exchange { connections, optionsFor(listed, caller) };
    BOOST_TEST((exchange.start("GET / HTTP/1.1\r\n\r\n", "", hasExpectedId) == exchange_state::NotSent));
}

BOOST_AUTO_TEST_CASE(disconnectedCallerEndsTheWaitAndClosesTheServerConnection)
{
    Poco::Net::ServerSocket socket { Poco::Net::SocketAddress { "127.0.0.1:0" } };
    std::atomic<bool> hasEnded = false;
    std::thread server { [&] {
        Poco::Net::StreamSocket peer = socket.acceptConnection();
        char request[256];
        while (peer.receiveBytes(request, sizeof request) > 0) { }
        hasEnded = true;
    } };
    socket_pair callerPair;
    const relay_socket caller { callerPair.near };
    std::thread callerThread { [&] {
        std::this_thread::sleep_for(50ms);
        callerPair.far.close();
    } };
    server_connection_pool connections;
    const listed_server listed = serverAt(socket);
    const time_point startedAt = boottime_clock {}.now();
    {
        server_exchange exchange { connections, optionsFor(listed, caller) };
        BOOST_TEST((exchange.start("GET / HTTP/1.1\r\n\r\n", "", hasExpectedId) == exchange_state::CallerGone));
    }
    BOOST_TEST((boottime_clock {}.now() - startedAt < exchangeTimeout));
    callerThread.join();
    server.join();
    BOOST_TEST(hasEnded.load());
}

// A server may answer before it has received the whole body. The connection must not be reused then, since the server would
// read the next request as the rest of the body, or the rest of the body as a request.
BOOST_AUTO_TEST_CASE(connectionWithUnsentBodyIsNotReusedAfterAnEarlyResponse)
{
    Poco::Net::ServerSocket socket { Poco::Net::SocketAddress { "127.0.0.1:0" } };
    std::atomic<bool> shouldStop = false;
    const exchange_case early { "early", completeResponse, ending::Stay, exchange_state::Succeeded, body_read_result::Complete, false };
    std::thread server { [&] { respondOnce(socket, early, shouldStop); } };
    socket_pair callerPair;
    const relay_socket caller { callerPair.near };
    server_connection_pool connections;
    const listed_server listed = serverAt(socket);
    // Building and copying a body of 64 MiB may take longer than exchangeTimeout on a busy machine. A response that is
    // missed still fails the check, only later.
    constexpr auto timeout = 5s;
    const std::string body(64U << 20U, 'x');
    {
        server_exchange exchange { connections, optionsFor(listed, caller, timeout) };
        BOOST_TEST((exchange.start("POST / HTTP/1.1\r\n\r\n", body, hasExpectedId) == exchange_state::Succeeded));
        std::string response;
        BOOST_TEST((readBody(exchange, response) == body_read_result::Complete));
        exchange.releaseConnection();
    }
    BOOST_TEST(!connections.acquire(listed.id, boottime_clock {}.now(), 10s).has_value());
    shouldStop = true;
    server.join();
}

namespace {

struct silence_case {
    const char* name;
    std::chrono::milliseconds maxSilence;
    std::chrono::milliseconds timeout;
    exchange_state state;
    bool hasPeerTimedOut;

    friend std::ostream& operator<<(std::ostream& out, const silence_case& each) { return out << each.name; }
};

const silence_case silences[] {
    { "longer than the limit", 500ms, 5s, exchange_state::MayHaveRun, true },
    { "within the limit", 10s, 2s, exchange_state::TimedOut, false },
};

} // namespace

BOOST_DATA_TEST_CASE(serverThatReadsNothingIsReportedAsUnresponsive, boost::unit_test::data::make(silences), each)
{
    Poco::Net::ServerSocket socket { Poco::Net::SocketAddress { "127.0.0.1:0" } };
    socket_pair callerPair;
    const relay_socket caller { callerPair.near };
    server_connection_pool connections;
    const listed_server listed = serverAt(socket);
    const std::string body(64U << 20U, 'x'); // More than the buffers of the connection hold.
    exchange_options options = optionsFor(listed, caller, each.timeout);
    options.maxSilence = each.maxSilence;
    server_exchange exchange { connections, options };
    BOOST_TEST((exchange.start("POST / HTTP/1.1\r\n\r\n", body, hasExpectedId) == each.state));
    BOOST_TEST(exchange.hasPeerTimedOut() == each.hasPeerTimedOut);
}
