// Tests that no caller holds a worker for longer than the bounds of the options, however it goes about it.
#include "test_edge.h"

#include <Poco/Exception.h>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <thread>
#include <vector>

using namespace radishflow;
using namespace std::chrono_literals;
using steady = std::chrono::steady_clock;

static constexpr std::chrono::milliseconds bound { 300 };
static constexpr std::chrono::milliseconds allowed { 3000 };

static edge_options shortBounds()
{
    return { .connectionLimit = 4, .queueLimit = 2, .receiveTimeout = bound, .sendTimeout = bound, .keepAliveTimeout = bound };
}

static bool becomesIdle(test_edge& edge)
{
    const auto end = steady::now() + allowed;
    while (edge.server().connections() > 0 && steady::now() < end)
        std::this_thread::sleep_for(5ms);
    return edge.server().connections() == 0;
}

static const std::vector<std::string> slowBeginnings {
    "",
    "GET /healthz HTT",
    "GET /healthz HTTP/1.1\r\nA: ",
    "POST /services/a/b HTTP/1.1\r\nContent-Length: 4000\r\n\r\n",
};

// Each byte comes well within POCO's bound of one receive, which alone would keep the worker for minutes.
BOOST_DATA_TEST_CASE(dribbledRequestIsCutInItsWholeTime, boost::unit_test::data::make(slowBeginnings), beginning)
{
    test_edge edge { shortBounds() };
    Poco::Net::StreamSocket socket = edge.connect();
    socket.sendBytes(beginning.data(), static_cast<int>(beginning.size()));
    const auto started = steady::now();
    std::string answer;
    try {
        while (steady::now() - started < allowed && !socket.poll(Poco::Timespan { 20000 }, Poco::Net::Socket::SELECT_READ))
            socket.sendBytes("x", 1);
        answer = readAll(socket);
    } catch (const Poco::Exception& error) {
        answer = error.displayText();
    }
    BOOST_TEST((steady::now() - started < allowed));
    BOOST_TEST(answer.starts_with("HTTP/1.1 408 "), answer);
    BOOST_TEST(answer.find("\"execution\":\"not_run\"") != std::string::npos, answer);
    BOOST_TEST(edge.handled() == 0);
    socket.close();
    BOOST_TEST(becomesIdle(edge));
}

BOOST_AUTO_TEST_CASE(callerThatDoesNotReadIsCut)
{
    test_edge edge { shortBounds() };
    Poco::Net::StreamSocket socket = edge.connect();
    const std::string request = "GET /services/a/endless HTTP/1.1\r\n\r\n";
    socket.sendBytes(request.data(), static_cast<int>(request.size()));
    BOOST_TEST(socket.poll(Poco::Timespan { 2, 0 }, Poco::Net::Socket::SELECT_READ));
    BOOST_TEST(edge.server().callsInProgress() == 1);
    BOOST_TEST(becomesIdle(edge));
    BOOST_TEST(edge.server().callsInProgress() == 0);
}

BOOST_AUTO_TEST_CASE(idleConnectionIsClosed)
{
    test_edge edge { shortBounds() };
    Poco::Net::StreamSocket socket = edge.connect();
    const std::string request = "GET /healthz HTTP/1.1\r\n\r\n";
    socket.sendBytes(request.data(), static_cast<int>(request.size()));
    BOOST_TEST(readAll(socket).ends_with("page /healthz"));
}

BOOST_AUTO_TEST_CASE(tooManyConnectionsGetA503AndTheRestAreServed)
{
    edge_options options = shortBounds();
    options.receiveTimeout = 1500ms;
    test_edge edge { options };
    std::vector<Poco::Net::StreamSocket> held;
    for (int index = 0; index < 6; ++index) {
        held.push_back(edge.connect());
        std::this_thread::sleep_for(20ms);
    }
    Poco::Net::StreamSocket refused = edge.connect();
    const std::string answer = readAll(refused);
    BOOST_TEST(answer.starts_with("HTTP/1.1 503 "), answer);
    BOOST_TEST(answer.find("Retry-After: 1\r\n") != std::string::npos, answer);
    BOOST_TEST(answer.find("\"execution\":\"not_run\"") != std::string::npos, answer);
    held.clear();
    BOOST_TEST(becomesIdle(edge));
    BOOST_TEST(edge.call("GET /healthz HTTP/1.1\r\nConnection: close\r\n\r\n").ends_with("page /healthz"));
}

BOOST_AUTO_TEST_CASE(serverEndsWhileCallersStayConnected)
{
    const auto started = steady::now();
    {
        test_edge edge;
        std::vector<Poco::Net::StreamSocket> held;
        for (const char* request : { "", "GET /he", "GET /services/a/endless HTTP/1.1\r\n\r\n" }) {
            held.push_back(edge.connect());
            held.back().sendBytes(request, static_cast<int>(std::char_traits<char>::length(request)));
        }
        std::this_thread::sleep_for(100ms);
        edge.server().beginLeaving();
    }
    BOOST_TEST((steady::now() - started < allowed));
}
