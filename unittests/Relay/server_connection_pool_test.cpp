// Tests which idle connections the pool holds and returns for reuse.
#include "radishflow/Relay/server_connection_pool.h"
#include "radishflow/Support/boottime_clock.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <vector>

using namespace radishflow;
using namespace std::chrono_literals;

namespace {

struct pool_fixture {
    Poco::Net::ServerSocket listener { Poco::Net::SocketAddress { "127.0.0.1:0" } };
    std::vector<Poco::Net::StreamSocket> serverSockets;
    server_connection_pool connections;
    server_id server { "s" };
    time_point now = boottime_clock {}.now();

    relay_socket connected()
    {
        const Poco::Net::StreamSocket socket { listener.address() };
        serverSockets.push_back(listener.acceptConnection());
        return relay_socket { socket };
    }

    void release(std::size_t maxToServer = 16) { connections.release(server, connected(), now, 5s, maxToServer); }
    bool acquire(duration elapsed = 0s, duration maxIdleTime = 10s) { return connections.acquire(server, now + elapsed, maxIdleTime).has_value(); }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ServerConnectionPool, pool_fixture)

BOOST_AUTO_TEST_CASE(connectionIsReusedUntilItExpiresOrWasIdleTooLong)
{
    release();
    BOOST_TEST(acquire(4s));
    BOOST_TEST(!acquire(4s));
    release();
    BOOST_TEST(!acquire(5s));
    release();
    BOOST_TEST(!acquire(2s, 1s));
}

BOOST_AUTO_TEST_CASE(closedConnectionOrOneWithUnexpectedBytesIsNotReused)
{
    release();
    serverSockets.back().close();
    release();
    serverSockets.back().sendBytes("x", 1);
    BOOST_TEST(!acquire());
}

BOOST_AUTO_TEST_CASE(poolHoldsAtMostTheGivenNumberOfConnectionsToAServer)
{
    for (int connection = 0; connection < 5; ++connection)
        release(2);
    BOOST_TEST(acquire());
    BOOST_TEST(acquire());
    BOOST_TEST(!acquire());
    release(2);
    connections.prune(now + 6s);
    release(2);
    BOOST_TEST(acquire());
    BOOST_TEST(!acquire());
}

BOOST_AUTO_TEST_CASE(closeAllRemovesConnectionsOfTheServer)
{
    release();
    connections.closeAll(server);
    BOOST_TEST(!acquire());
}

// Guards against a restart of the server that no request notices.
BOOST_AUTO_TEST_CASE(connectionsThatBrokeWhileIdleAreReportedOnce)
{
    release();
    BOOST_TEST(!connections.takeBroken(server, now));
    serverSockets.back().close();
    BOOST_TEST(connections.takeBroken(server, now));
    BOOST_TEST(!connections.takeBroken(server, now));
    BOOST_TEST(!acquire());
    release();
    serverSockets.back().close();
    BOOST_TEST(!acquire());
    BOOST_TEST(connections.takeBroken(server, now));
    release();
    serverSockets.back().close();
    BOOST_TEST(!connections.takeBroken(server, now + 6s)); // A server closes connections after its idle timeout.
}

BOOST_AUTO_TEST_SUITE_END()
