// Tests that a fleet keeps to the request rate of a cold backend server.
#include "radishflow/Routing/cold_senders.h"
#include "radishflow/Routing/cold_share.h"

#include "test_servers.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <set>
#include <vector>

using namespace radishflow;
using namespace std::chrono_literals;

// Every selected daemon sends as soon as it has a token, for ten seconds. Any second must contain at most as many requests
// as the platform allows.
BOOST_DATA_TEST_CASE(fleetKeepsToTheRequestRateOfAColdServer, boost::unit_test::data::make({ 1, 3, 7, 68, 350 }), daemons)
{
    constexpr double rate = 10;
    constexpr double boundPerSecond = rate * 1.5 + 5;
    const server_id server { "cold" };
    std::vector<cold_share> shares;
    for (int daemon = 0; daemon < daemons; ++daemon) {
        if (isColdSender(testFleet(daemons, daemon), server))
            shares.emplace_back();
    }
    const double ratePerSender = rate / static_cast<double>(coldSenderCount(testFleet(daemons)));
    std::vector<time_point> sends;
    const time_point start { 1h };
    for (auto elapsed = 0ms; elapsed < 10s; elapsed += 5ms) {
        for (cold_share& share : shares) {
            if (!share.hasToken(start + elapsed, ratePerSender))
                continue;
            share.consumeToken(start + elapsed, ratePerSender);
            sends.push_back(start + elapsed);
        }
    }
    std::size_t begin = 0;
    std::size_t maxPerSecond = 0;
    for (std::size_t end = 0; end < sends.size(); ++end) {
        while (sends[end] - sends[begin] >= 1s)
            ++begin;
        maxPerSecond = std::max(maxPerSecond, end - begin + 1);
    }
    BOOST_TEST(static_cast<double>(maxPerSecond) <= boundPerSecond);
    BOOST_TEST(maxPerSecond >= 10U);
}

BOOST_AUTO_TEST_CASE(daemonsSelectTheSameSenders)
{
    std::set<int> senders;
    for (int daemon = 0; daemon < 20; ++daemon) {
        if (isColdSender(testFleet(20, daemon), server_id { "cold" }))
            senders.insert(daemon);
    }
    BOOST_TEST(senders.size() == coldSenderCount(testFleet(20)));
}
