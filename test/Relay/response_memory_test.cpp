// Tests that large and unfinished responses neither exceed a daemon's memory nor take the room of other servers' responses.
#include "Support/process_usage.h"
#include "relay_fleet.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <atomic>
#include <future>
#include <ostream>
#include <string>
#include <thread>
#include <vector>

using namespace radishflow;
using namespace std::chrono_literals;

namespace {

constexpr double maxMegabytes = 195; ///< Three quarters of the smallest memory limit of a daemon on the users' deployments.
constexpr auto orderTimeout = 6000ms;

/// How the servers of one service misbehave.
struct faulty_case {
    const char* name;
    server_response_kind kind;
    std::size_t bytes; ///< Sent before the server falls silent.
    const char* path;
    int callers;

    friend std::ostream& operator<<(std::ostream& out, const faulty_case& testCase) { return out << testCase.name; }
};

const faulty_case faults[] {
    { "bodies without end", server_response_kind::Endless, 0, "/order/a", 60 },
    { "unfinished bodies", server_response_kind::Unfinished, 4'000'000, "/order/a", 60 },
    { "unfinished events", server_response_kind::Unfinished, 1'000'000, "/stream/a", 300 },
};

/// Sends a GET request and reads the response at the given rate. Returns the number of bytes received before the connection ended.
std::size_t receiveSlowly(const std::string& address, const std::string& path, const std::string& id, std::size_t bytesPerSecond)
{
    constexpr auto interval = 20ms;
    constexpr int receiveBufferBytes = 65536;
    std::vector<char> block(bytesPerSecond / 50);
    std::size_t received = 0;
    try {
        Poco::Net::StreamSocket socket { Poco::Net::SocketAddress::IPv4 };
        socket.setReceiveBufferSize(receiveBufferBytes);
        socket.connect(Poco::Net::SocketAddress { address });
        const std::string head = writeRequestHead("GET " + path + " HTTP/1.1", { .id = id, .key = relay_fleet::key, .timeLeft = orderTimeout }, false);
        socket.sendBytes(head.data(), static_cast<int>(head.size()));
        while (true) {
            const int count = socket.receiveBytes(block.data(), static_cast<int>(block.size()));
            if (count <= 0)
                return received;
            received += static_cast<std::size_t>(count);
            std::this_thread::sleep_for(interval);
        }
    } catch (const Poco::Exception& error) {
        BOOST_TEST_MESSAGE(id << ": " << error.displayText());
        return received;
    }
}

} // namespace

// Guards against sound responses that fail because servers of another service send too much.
BOOST_DATA_TEST_CASE(soundResponsesAreServedBesideOversizedOnes, boost::unit_test::data::make(faults), testCase)
{
    constexpr std::size_t soundBytes = 300'000;
    constexpr int soundCallers = 8;
    relay_fleet fleet { { .daemons = 1, .servers = 4, .services = { standinService, secondService }, .behaviour = { .bodyBytes = soundBytes } } };
    fleet.configure({ .version = 2, .workspaceKey = relay_fleet::key, .orderTimeout = orderTimeout });
    for (const int server : { 0, 2 })
        fleet.server(server).setBehaviour({ .kind = testCase.kind, .bodyBytes = testCase.bytes });
    std::this_thread::sleep_for(1s);
    std::vector<std::thread> faulty;
    faulty.reserve(static_cast<std::size_t>(testCase.callers));
    for (int caller = 0; caller < testCase.callers; ++caller) {
        faulty.emplace_back([&, caller] {
            httpCall({ .url = "http://" + fleet.callerAddress(0) + testCase.path, .headers = headersOf({ .id = "f" + std::to_string(caller), .key = relay_fleet::key, .timeLeft = orderTimeout }), .timeout = orderTimeout });
        });
    }
    std::this_thread::sleep_for(500ms);
    std::atomic<int> sent = 0;
    std::atomic<int> served = 0;
    std::vector<std::thread> sound;
    sound.reserve(soundCallers);
    const auto end = std::chrono::steady_clock::now() + 3s;
    for (int caller = 0; caller < soundCallers; ++caller) {
        sound.emplace_back([&] {
            while (std::chrono::steady_clock::now() < end) {
                const std::string id = "s" + std::to_string(++sent);
                const http_call_reply response = httpCall({ .url = "http://" + fleet.callerAddress(0) + "/other/" + id, .headers = headersOf({ .id = id, .key = relay_fleet::key, .timeLeft = orderTimeout }) });
                served += response.status == 200 && response.body.size() == soundBytes ? 1 : 0;
            }
        });
    }
    for (std::thread& thread : sound)
        thread.join();
    for (std::thread& thread : faulty)
        thread.join();
    const double peak = usageOf(fleet.daemon(0).pid()).peakMegabytes;
    BOOST_TEST_MESSAGE(testCase.name << ": " << served << " of " << sent << " sound responses, peak " << peak << " MB");
    BOOST_TEST(sent > 0);
    BOOST_TEST(served == sent);
    BOOST_TEST(peak < maxMegabytes);
    BOOST_TEST(waitUntil(2s, [&] { return fleet.metric(0, "radishflow_state{name=\"buffered_response_bytes\"}") == 0; }));
}

// Guards against large sound responses that fail because their callers read slowly.
BOOST_AUTO_TEST_CASE(largeSoundResponsesReachSlowCallers)
{
    constexpr std::size_t soundBytes = 12'000'000;
    constexpr std::size_t bytesPerSecond = 4'000'000;
    constexpr int callers = 40;
    relay_fleet fleet { { .daemons = 1, .servers = 2, .behaviour = { .bodyBytes = soundBytes } } };
    fleet.configure({ .version = 2, .workspaceKey = relay_fleet::key, .orderTimeout = orderTimeout });
    std::this_thread::sleep_for(1s);
    std::vector<std::future<std::size_t>> received;
    received.reserve(callers);
    for (int caller = 0; caller < callers; ++caller)
        received.push_back(std::async(std::launch::async, [&, caller] { return receiveSlowly(fleet.callerAddress(0), "/order/a", "slow" + std::to_string(caller), bytesPerSecond); }));
    const auto whole = std::count_if(received.begin(), received.end(), [&](auto& bytes) { return bytes.get() > soundBytes; });
    const double peak = usageOf(fleet.daemon(0).pid()).peakMegabytes;
    BOOST_TEST_MESSAGE(whole << " of " << callers << " whole, peak " << peak << " MB");
    BOOST_TEST(whole == callers);
    BOOST_TEST(peak < maxMegabytes);
}
