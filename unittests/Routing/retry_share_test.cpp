// Tests that the resends of all daemons together stay within the fleet's retry budget.
#include "radishflow/Routing/retry_share.h"
#include "radishflow/Support/manual_clock.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <deque>

using namespace radishflow;
using namespace std::chrono_literals;

// Every request fails and is resent as often as the share allows. Only about half of the daemons get requests, so the budget
// must also hold under uneven traffic.
BOOST_DATA_TEST_CASE(sumOfResendsStaysWithinTheBudget, boost::unit_test::data::make({ 1, 7, 68 }), daemons)
{
    constexpr double ratio = 0.2;
    constexpr double slack = 54;
    manual_clock clock;
    std::deque<retry_share<manual_clock>> shares;
    for (int daemon = 0; daemon < daemons; ++daemon)
        shares.emplace_back(clock, retry_share_options { .ratio = ratio, .slack = slack });
    std::deque<time_point> requests;
    std::deque<time_point> resends;
    int granted = 0;
    for (int step = 0; step < 3000; ++step) {
        auto& share = shares[static_cast<std::size_t>(step % ((daemons + 1) / 2))];
        share.countRequest();
        requests.push_back(clock.now());
        for (int attempt = 0; attempt < 3 && share.tryConsume(static_cast<std::size_t>(daemons)); ++attempt) {
            resends.push_back(clock.now());
            ++granted;
        }
        clock.advance(11ms);
        while (!resends.empty() && clock.now() - resends.front() >= 10s)
            resends.pop_front();
        while (!requests.empty() && clock.now() - requests.front() >= 20s)
            requests.pop_front();
        BOOST_REQUIRE(static_cast<double>(resends.size()) <= ratio * static_cast<double>(requests.size()) + slack);
    }
    BOOST_TEST(granted > 0);
}
