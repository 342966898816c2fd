// Tests that request bodies stay within the daemon's memory, and that those for which there is no room are refused at once.
#include "relay_fleet.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <fstream>
#include <future>
#include <ostream>
#include <set>
#include <string>
#include <thread>
#include <vector>

using namespace radishflow;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t memoryLimitKiB = 260U << 10U; ///< Of the platform, for a process.
constexpr std::size_t bodyBytes = 4'000'000;
constexpr int callers = 60; ///< Their bodies together exceed the limit.
constexpr auto orderTimeout = 8000ms;

struct framing_case {
    const char* name;
    bool isChunked;

    friend std::ostream& operator<<(std::ostream& out, const framing_case& testCase) { return out << testCase.name; }
};

const framing_case framings[] {
    { "with a length", false },
    { "in chunks", true },
};

std::size_t peakMemoryKiB(pid_t process)
{
    std::ifstream status { "/proc/" + std::to_string(process) + "/status" };
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("VmHWM:"))
            return std::stoul(line.substr(line.find_first_of("0123456789")));
    }
    return 0;
}

received_response sendOrder(relay_fleet& fleet, const std::string& id, std::size_t size, bool isChunked)
{
    constexpr std::size_t chunkBytes = 100'000;
    caller_connection connection;
    if (!connection.open(fleet.callerAddress(0)))
        return {};
    const std::string head = writeRequestHead("POST /order/" + id + " HTTP/1.1", { .id = id, .key = relay_fleet::key, .timeLeft = orderTimeout }, false);
    const std::string fields = head.substr(0, head.size() - 2);
    if (!isChunked)
        return connection.run(fields + "Content-Length: " + std::to_string(size) + "\r\n\r\n" + std::string(size, 'b'), orderTimeout);
    std::string body = "Transfer-Encoding: chunked\r\n\r\n";
    for (std::size_t sent = 0; sent < size; sent += chunkBytes)
        body += "186a0\r\n" + std::string(chunkBytes, 'b') + "\r\n";
    return connection.run(fields + body + "0\r\n\r\n", orderTimeout);
}

} // namespace

// Guards against daemons that the platform kills because many callers send large bodies at once.
BOOST_DATA_TEST_CASE(largeBodiesStayWithinTheMemoryLimit, boost::unit_test::data::make(framings), testCase)
{
    relay_fleet fleet { { .daemons = 1, .servers = 2, .behaviour = { .pause = 1500ms } } };
    fleet.configure({ .version = 2, .workspaceKey = relay_fleet::key, .orderTimeout = orderTimeout, .maxBodyBytes = 4'194'304 });
    std::this_thread::sleep_for(1s);
    std::vector<std::future<received_response>> large;
    large.reserve(callers);
    for (int caller = 0; caller < callers; ++caller)
        large.push_back(std::async(std::launch::async, [&, caller] { return sendOrder(fleet, "large" + std::to_string(caller), bodyBytes, testCase.isChunked); }));
    std::this_thread::sleep_for(700ms);
    const received_response small = sendOrder(fleet, "small", 5, false);
    BOOST_TEST(small.status == 200);
    int served = 0;
    std::set<std::string> refused;
    for (int caller = 0; caller < callers; ++caller) {
        const int status = large[static_cast<std::size_t>(caller)].get().status;
        served += status == 200 ? 1 : 0;
        if (status == 503)
            refused.insert("large" + std::to_string(caller));
    }
    const std::size_t peak = peakMemoryKiB(fleet.daemon(0).pid());
    BOOST_TEST_MESSAGE(testCase.name << ": " << served << " served, " << refused.size() << " refused, peak " << peak / 1024 << " MiB");
    BOOST_TEST(peak < memoryLimitKiB);
    BOOST_TEST(peak > 0U);
    BOOST_TEST(served >= 20);
    BOOST_TEST(served + static_cast<int>(refused.size()) == callers);
    for (int server = 0; server < fleet.servers(); ++server) {
        for (const received_request& received : fleet.server(server).seen())
            BOOST_TEST(!refused.contains(received.id));
    }
    BOOST_TEST(waitUntil(2s, [&] { return fleet.metric(0, "radishflow_state{name=\"request_body_bytes\"}") == 0; }));
}

// Guards against daemons that the platform kills because of bodies sent with requests for documents.
BOOST_AUTO_TEST_CASE(bodiesOfDocumentRequestsAreRefused)
{
    constexpr int documentCallers = 100;
    const std::string request = "POST " + lookupTarget() + " HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n" + std::string(bodyBytes - 1, 'b');
    relay_fleet fleet { { .daemons = 1, .servers = 1 } };
    std::vector<std::future<int>> lookups;
    lookups.reserve(documentCallers);
    for (int caller = 0; caller < documentCallers; ++caller) {
        lookups.push_back(std::async(std::launch::async, [&] {
            caller_connection connection;
            return connection.open(fleet.lookupAddress(0)) ? connection.run(request, 2000ms).status : 0;
        }));
    }
    for (std::future<int>& status : lookups)
        BOOST_TEST(status.get() != 200);
    BOOST_TEST(peakMemoryKiB(fleet.daemon(0).pid()) < memoryLimitKiB);
    BOOST_TEST(fleet.lookUp(0).size() == 1U);
}
