// Tests that the resends of all daemons together stay within the fleet's retry budget.
#include "radishflow/Routing/retry_share.h"
#include "radishflow/Support/manual_clock.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <deque>
#include <optional>

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
        shares.emplace_back(clock, retry_share_options { .ratio = ratio, .slack = slack, .startsFull = true }, clock.now());
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

// A process that has just started knows neither the resends of the daemon's earlier processes nor the size of the fleet.
BOOST_DATA_TEST_CASE(sumOfResendsStaysWithinTheBudgetWhileDaemonsRestart, boost::unit_test::data::make({ 1, 7, 68 }) * boost::unit_test::data::make({ 1, 3, 11 }), daemons, restartSeconds)
{
    constexpr double ratio = 0.2;
    constexpr double slack = 54;
    constexpr auto discoveryTime = 500ms;
    manual_clock clock;
    const retry_share_options options { .ratio = ratio, .slack = slack };
    std::deque<std::optional<retry_share<manual_clock>>> shares;
    std::deque<time_point> starts(static_cast<std::size_t>(daemons), clock.now());
    for (int daemon = 0; daemon < daemons; ++daemon)
        shares.emplace_back(std::in_place, clock, options, clock.now());
    std::deque<time_point> requests;
    std::deque<time_point> resends;
    for (int step = 0; step < 6000; ++step) {
        const auto daemon = static_cast<std::size_t>(step % daemons);
        if (clock.now() - starts[daemon] >= std::chrono::seconds { restartSeconds }) {
            shares[daemon].emplace(clock, options, clock.now());
            starts[daemon] = clock.now();
        }
        auto& share = *shares[daemon];
        const bool isSizeKnown = clock.now() - starts[daemon] >= discoveryTime;
        share.countRequest();
        requests.push_back(clock.now());
        for (int attempt = 0; attempt < 3 && share.tryConsume(isSizeKnown ? static_cast<std::size_t>(daemons) : 0); ++attempt)
            resends.push_back(clock.now());
        clock.advance(11ms);
        while (!resends.empty() && clock.now() - resends.front() >= 10s)
            resends.pop_front();
        while (!requests.empty() && clock.now() - requests.front() >= 20s)
            requests.pop_front();
        BOOST_REQUIRE(static_cast<double>(resends.size()) <= ratio * static_cast<double>(requests.size()) + slack);
    }
}
