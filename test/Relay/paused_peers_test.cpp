// Tests that servers and callers which stop reading for some seconds keep their connections.
#include "relay_fleet.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <future>
#include <ostream>
#include <string>
#include <thread>
#include <vector>

using namespace radishflow;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t bodyBytes = 4'000'000; ///< More than the buffers of a connection hold.
constexpr auto orderTimeout = 9000ms;
constexpr int orders = 4; ///< In each case, at the same time.

struct pause_case {
    const char* name;
    std::chrono::milliseconds pause;

    friend std::ostream& operator<<(std::ostream& out, const pause_case& testCase) { return out << testCase.name; }
};

const pause_case pauses[] {
    { "1.3 s", 1300ms },
    { "2 s", 2000ms },
    { "3 s", 3000ms },
    { "4 s", 4000ms },
};

std::string orderHead(const std::string& id, std::size_t size)
{
    const std::string head = writeRequestHead("POST /order/" + id + " HTTP/1.1", { .id = id, .key = relay_fleet::key, .timeLeft = orderTimeout }, false);
    return head.substr(0, head.size() - 2) + "Content-Length: " + std::to_string(size) + "\r\n\r\n";
}

/// Sends an order on a connection of its own; reads the response only after a pause.
received_response sendOrder(relay_fleet& fleet, const std::string& id, std::size_t size, std::chrono::milliseconds pause)
{
    caller_connection connection;
    if (!connection.open(fleet.callerAddress(0)) || !connection.send(orderHead(id, size) + std::string(size, 'b')))
        return {};
    std::this_thread::sleep_for(pause);
    return connection.run("", orderTimeout);
}

std::vector<received_response> sendOrders(relay_fleet& fleet, const std::string& prefix, std::size_t size, std::chrono::milliseconds pause)
{
    std::vector<std::future<received_response>> running;
    running.reserve(orders);
    for (int order = 0; order < orders; ++order)
        running.push_back(std::async(std::launch::async, [&, id = prefix + std::to_string(order)] { return sendOrder(fleet, id, size, pause); }));
    std::vector<received_response> responses;
    responses.reserve(orders);
    for (auto& response : running)
        responses.push_back(response.get());
    return responses;
}

void configure(relay_fleet& fleet)
{
    fleet.configure({ .version = 2, .workspaceKey = relay_fleet::key, .orderTimeout = orderTimeout, .maxBodyBytes = 4'194'304 });
    BOOST_REQUIRE(waitUntil(5s, [&] { return fleet.call(0, "/v2/a").status == 200; }));
}

} // namespace

// Guards against orders that are lost because their server reads nothing for some seconds.
BOOST_DATA_TEST_CASE(serverThatStopsReadingKeepsItsRequest, boost::unit_test::data::make(pauses), testCase)
{
    relay_fleet fleet { { .daemons = 1, .servers = 1, .hasServerPaths = true, .behaviour = { .pause = 200ms } } };
    configure(fleet);
    // The large orders use the connections of the first ones, which run at the same time, since a stopped server accepts none.
    for (const received_response& response : sendOrders(fleet, "first", 5, 0ms))
        BOOST_REQUIRE(response.status == 200);
    fleet.setServerPaths(0, path_state::Hanging);
    std::this_thread::sleep_for(50ms);
    auto running = std::async(std::launch::async, [&] { return sendOrders(fleet, "large", bodyBytes, 0ms); });
    std::this_thread::sleep_for(testCase.pause);
    fleet.setServerPaths(0, path_state::Open);
    for (const received_response& response : running.get()) {
        BOOST_TEST(response.status == 200);
        BOOST_TEST(response.isComplete);
    }
}

// Guards against callers whose response is cut because they read nothing for some seconds.
BOOST_DATA_TEST_CASE(callerThatStopsReadingGetsItsWholeResponse, boost::unit_test::data::make(pauses), testCase)
{
    relay_fleet fleet { { .daemons = 1, .servers = 2, .behaviour = { .bodyBytes = bodyBytes } } };
    configure(fleet);
    for (const received_response& response : sendOrders(fleet, "order", 5, testCase.pause)) {
        BOOST_TEST(response.status == 200);
        BOOST_TEST(response.isComplete);
        BOOST_TEST(response.body.size() == bodyBytes);
    }
}
