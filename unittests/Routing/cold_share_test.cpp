// Tests that a fleet never gives a cold server more than it bears.
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

// Every daemon sends whenever it may, for ten seconds; no second may hold more than the platform's bound.
BOOST_DATA_TEST_CASE(fleetKeepsToTheRateOfAColdServer, boost::unit_test::data::make({ 1, 3, 7, 68, 350 }), daemons)
{
    constexpr double rate = 10;
    constexpr double boundPerSecond = rate * 1.5 + 5;
    const server_id server { "cold" };
    std::vector<cold_share> shares;
    for (int daemon = 0; daemon < daemons; ++daemon) {
        if (isColdSender(testFleet(daemons, daemon), server))
            shares.emplace_back();
    }
    const double own = rate / static_cast<double>(coldSenderCount(testFleet(daemons)));
    std::vector<time_point> sends;
    const time_point start { 1h };
    for (auto passed = 0ms; passed < 10s; passed += 5ms) {
        for (cold_share& share : shares) {
            if (!share.hasToken(start + passed, own))
                continue;
            share.take(start + passed, own);
            sends.push_back(start + passed);
        }
    }
    std::size_t begin = 0;
    std::size_t most = 0;
    for (std::size_t end = 0; end < sends.size(); ++end) {
        while (sends[end] - sends[begin] >= 1s)
            ++begin;
        most = std::max(most, end - begin + 1);
    }
    BOOST_TEST(static_cast<double>(most) <= boundPerSecond);
    BOOST_TEST(most >= 10U);
}

BOOST_AUTO_TEST_CASE(daemonsAgreeOnTheSenders)
{
    std::set<int> senders;
    for (int daemon = 0; daemon < 20; ++daemon) {
        if (isColdSender(testFleet(20, daemon), server_id { "cold" }))
            senders.insert(daemon);
    }
    BOOST_TEST(senders.size() == coldSenderCount(testFleet(20)));
}
