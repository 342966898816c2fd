// Tests which response times of a route are known.
#include "radishflow/Relay/response_times.h"
#include "radishflow/Support/manual_clock.h"

#include <boost/test/unit_test.hpp>

using namespace radishflow;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_CASE(longestTimeIsKnownOnceEnoughResponsesAreAndIsForgotten)
{
    constexpr response_times_options options { .period = 10s, .minResponses = 3 };
    manual_clock clock;
    clock.advance(1h);
    response_times<manual_clock> times { clock, options };
    times.record("orders", 60ms);
    times.record("orders", 450ms);
    times.record("reads", 5s);
    BOOST_TEST(!times.longest("orders").has_value());
    clock.advance(options.period);
    times.record("orders", 70ms);
    BOOST_TEST((times.longest("orders") == duration { 450ms }));
    BOOST_TEST(!times.longest("reads").has_value());
    clock.advance(options.period);
    for (int response = 0; response < options.minResponses; ++response)
        times.record("orders", 80ms);
    BOOST_TEST((times.longest("orders") == duration { 80ms }));
    clock.advance(2 * options.period);
    BOOST_TEST(!times.longest("orders").has_value());
}
