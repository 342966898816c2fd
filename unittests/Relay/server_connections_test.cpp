// Tests which idle connections are kept and given out again.
#include "radishflow/Relay/server_connections.h"
#include "radishflow/Support/boottime_clock.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <vector>

using namespace radishflow;
using namespace std::chrono_literals;

namespace {

struct connections_fixture {
    Poco::Net::ServerSocket listener { Poco::Net::SocketAddress { "127.0.0.1:0" } };
    std::vector<Poco::Net::StreamSocket> far;
    server_connections connections;
    server_id server { "s" };
    time_point now = boottime_clock {}.now();

    relay_socket connected()
    {
        const Poco::Net::StreamSocket near { listener.address() };
        far.push_back(listener.acceptConnection());
        return relay_socket { near };
    }

    void put(std::size_t most = 16) { connections.put(server, connected(), now, 5s, most); }
    bool take(duration later = 0s, duration mostIdle = 10s) { return connections.take(server, now + later, mostIdle).has_value(); }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ServerConnections, connections_fixture)

BOOST_AUTO_TEST_CASE(connectionsAreUsedAgainUntilTheServerClosesThem)
{
    put();
    BOOST_TEST(take(4s));
    BOOST_TEST(!take(4s));
    put();
    BOOST_TEST(!take(5s));
    put();
    BOOST_TEST(!take(2s, 1s));
}

BOOST_AUTO_TEST_CASE(onesThatEndedOrHoldForeignBytesAreDropped)
{
    put();
    far.back().close();
    put();
    far.back().sendBytes("x", 1);
    BOOST_TEST(!take());
}

BOOST_AUTO_TEST_CASE(noMoreAreKeptThanTheDaemonsShare)
{
    for (int connection = 0; connection < 5; ++connection)
        put(2);
    BOOST_TEST(take());
    BOOST_TEST(take());
    BOOST_TEST(!take());
    put(2);
    connections.prune(now + 6s);
    put(2);
    BOOST_TEST(take());
    BOOST_TEST(!take());
}

BOOST_AUTO_TEST_CASE(serversThatAreGoneLoseTheirs)
{
    put();
    connections.drop(server);
    BOOST_TEST(!take());
}

BOOST_AUTO_TEST_SUITE_END()
