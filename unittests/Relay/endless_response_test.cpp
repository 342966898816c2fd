// Tests that bytes which a server sends without end neither hold a request beyond its deadline nor grow without bound.
#include "radishflow/Relay/server_exchange.h"
#include "radishflow/Requests/body_decoder.h"
#include "radishflow/Support/boottime_clock.h"

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <ostream>
#include <string>
#include <thread>

using namespace radishflow;
using namespace std::chrono_literals;

namespace {

struct endless_case {
    const char* name;
    std::string start; ///< Sent once.
    std::string repeated; ///< Sent until the relay closes the connection.
};

std::ostream& operator<<(std::ostream& out, const endless_case& testCase) { return out << testCase.name; }

const std::string ownHead = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n";
const std::string foreignHead = "HTTP/1.1 200 OK\r\nX-Id: 0\r\n";
const std::string line(2000, 'x');

const endless_case cases[] {
    { "no line end", "", line },
    { "lines that are no head", "", line + "\r\n" },
    { "fields of a head", ownHead, "X-Field: " + line + "\r\n" },
    { "interim responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n" },
    { "responses to other requests", "", foreignHead + "Content-Length: 2\r\n\r\nok" },
    { "body of another response", foreignHead + "\r\n", line },
    { "unframed body", ownHead + "\r\n", line },
    { "chunks", ownHead + "Transfer-Encoding: chunked\r\n\r\n", "7d0\r\n" + line + "\r\n" },
    { "trailer", ownHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-Field: " + line + "\r\n" },
    { "chunk extension", ownHead + "Transfer-Encoding: chunked\r\n\r\n2;", line },
};

constexpr auto timeout = 400ms;
constexpr auto slack = 300ms; ///< For a busy machine.

/// Sends the bytes of a case to the first connection until it is closed.
class endless_server {
public:
    explicit endless_server(const endless_case& testCase)
        : m_thread([this, &testCase] { run(testCase); })
    {
    }
    ~endless_server() { m_thread.join(); }
    endless_server(const endless_server&) = delete;
    endless_server& operator=(const endless_server&) = delete;

    listed_server listed() const { return { .id = server_id { "s" }, .address = m_listener.address().toString() }; }

private:
    void run(const endless_case& testCase)
    {
        Poco::Net::StreamSocket peer = m_listener.acceptConnection();
        std::string block;
        while (block.size() < 65536)
            block += testCase.repeated;
        try {
            peer.sendBytes(testCase.start.data(), static_cast<int>(testCase.start.size()));
            while (peer.sendBytes(block.data(), static_cast<int>(block.size())) > 0) { }
        } catch (const Poco::Exception&) {
            // The relay has closed the connection.
        }
    }

    Poco::Net::ServerSocket m_listener { Poco::Net::SocketAddress { "127.0.0.1:0" } };
    std::thread m_thread;
};

struct connected_caller {
    Poco::Net::ServerSocket listener { Poco::Net::SocketAddress { "127.0.0.1:0" } };
    Poco::Net::StreamSocket near { listener.address() };
    Poco::Net::StreamSocket far = listener.acceptConnection();
    relay_socket socket { near };
};

bool hasExpectedId(const response_head& head)
{
    const std::string* id = head.fields.find("X-Id");
    return id && *id == "1";
}

/// Runs one exchange, discarding the body, and returns how long it took.
duration runExchange(server_connection_pool& connections, const listed_server& server, const relay_socket& caller, duration limit)
{
    const time_point began = boottime_clock {}.now();
    server_exchange exchange { connections, { .server = server, .caller = caller, .deadline = began + limit, .headDeadline = began + limit, .connectTimeout = 200ms, .maxIdleTime = 10s } };
    if (exchange.start("GET / HTTP/1.1\r\n\r\n", "", hasExpectedId) == exchange_state::Succeeded) {
        body_read_result result = body_read_result::Data;
        for (std::string body; result == body_read_result::Data && boottime_clock {}.now() < began + limit + 2 * slack; body.clear()) {
            result = exchange.read(body);
            std::this_thread::sleep_for(1ms); // Bytes arrive faster than they are read, so the relay never waits for them.
        }
        BOOST_TEST((result != body_read_result::Complete));
    }
    exchange.releaseConnection();
    return boottime_clock {}.now() - began;
}

} // namespace

BOOST_DATA_TEST_CASE(endlessResponseEndsByItsDeadline, boost::unit_test::data::make(cases), testCase)
{
    endless_server server { testCase };
    connected_caller caller;
    server_connection_pool connections;
    BOOST_TEST((runExchange(connections, server.listed(), caller.socket, timeout) < timeout + slack));
    BOOST_TEST(!connections.acquire(server_id { "s" }, boottime_clock {}.now(), 10s).has_value());
}

BOOST_DATA_TEST_CASE(endlessResponseEndsWhenItsCallerDisconnects, boost::unit_test::data::make(cases), testCase)
{
    constexpr auto deadline = 10s;
    endless_server server { testCase };
    connected_caller caller;
    std::thread leaver { [&] {
        std::this_thread::sleep_for(timeout);
        caller.far.close();
    } };
    server_connection_pool connections;
    BOOST_TEST((runExchange(connections, server.listed(), caller.socket, deadline) < timeout + slack));
    leaver.join();
}

BOOST_AUTO_TEST_CASE(peerThatSendsWithoutEndDoesNotHoldALingeringClose)
{
    const endless_case testCase { "caller", "", line };
    endless_server peer { testCase };
    relay_socket socket;
    BOOST_REQUIRE((relay_socket::connect(peer.listed().address, boottime_clock {}.now() + 1s, nullptr, socket) == io_outcome::Done));
    const time_point began = boottime_clock {}.now();
    socket.shutdownSend();
    socket.lingeringClose();
    BOOST_TEST((boottime_clock {}.now() - began < 1s));
}
