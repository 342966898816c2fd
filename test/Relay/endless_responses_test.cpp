// Tests that servers which send bytes without end hold neither callers nor the memory of a daemon.
#include "Support/process_usage.h"
#include "relay_fleet.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <thread>
#include <vector>

using namespace radishflow;
using namespace std::chrono_literals;

BOOST_DATA_TEST_CASE(endlessResponsesBoundTimeAndMemory, boost::unit_test::data::make({ "/read/a", "/order/a", "/stream/a" }), path)
{
    constexpr int callers = 30;
    constexpr auto maxTime = 2s; // The route's timeout, and slack for a busy machine. A stream ends when its first event is too large.
    constexpr double maxMegabytes = 130; // Half of the smallest memory limit of a daemon on the users' deployments.
    relay_fleet fleet { { .daemons = 1, .behaviour = { .kind = server_response_kind::Endless } } };
    std::vector<std::thread> threads;
    threads.reserve(callers);
    for (int caller = 0; caller < callers; ++caller) {
        threads.emplace_back([&, caller] {
            const auto began = std::chrono::steady_clock::now();
            const http_call_reply reply = httpCall({ .url = "http://" + fleet.callerAddress(0) + path, .headers = headersOf({ .id = "e" + std::to_string(caller), .key = relay_fleet::key, .timeLeft = 5s }) });
            BOOST_TEST((reply.status == 502 || reply.status == 504));
            BOOST_TEST((std::chrono::steady_clock::now() - began < maxTime));
        });
    }
    for (std::thread& thread : threads)
        thread.join();
    BOOST_TEST(usageOf(fleet.daemon(0).pid()).peakMegabytes < maxMegabytes);
    for (int server = 0; server < fleet.servers(); ++server)
        fleet.server(server).setBehaviour({});
    BOOST_TEST(waitUntil(5s, [&] { return fleet.call(0, "/read/a").status == 200; }));
}
