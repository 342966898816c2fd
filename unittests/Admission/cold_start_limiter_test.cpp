// Tests growth by completions, each way of detecting a cold turn, and how much can be sent before it.
#include "radishflow/Admission/cold_start_limiter.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <functional>
#include <ostream>
#include <vector>

using namespace radishflow;
using namespace std::chrono_literals;

static cold_start_limiter warmServer(const cold_start_limiter_options& options = {})
{
    cold_start_limiter allowance { options };
    allowance.observe({ .processStart = 1000, .completed = 5 });
    while (!allowance.isWarm())
        allowance.recordCompletion(allowance.recordDispatch());
    return allowance;
}

BOOST_AUTO_TEST_CASE(growsWithCompletionsOnly)
{
    cold_start_limiter allowance { { .coldLimit = 2, .fullLimit = 5, .completionsPerStep = 3 } };
    BOOST_TEST(allowance.limit() == 2);
    for (int reading = 0; reading < 100; ++reading)
        allowance.observe({ .processStart = 1000, .completed = 7 });
    BOOST_TEST(allowance.limit() == 2);
    for (int completion = 0; completion < 8; ++completion)
        allowance.recordCompletion(allowance.recordDispatch());
    BOOST_TEST(allowance.limit() == 4);
    allowance.recordCompletion(allowance.recordDispatch());
    allowance.recordCompletion(allowance.recordDispatch());
    BOOST_TEST(allowance.limit() == 5);
}

struct cold_turn_case {
    const char* name;
    cold_reason reason;
    std::function<void(cold_start_limiter&)> happen;
};

static std::ostream& operator<<(std::ostream& out, const cold_turn_case& test)
{
    return out << test.name;
}

static const cold_turn_case coldTurnCases[] {
    { "process start", cold_reason::ProcessChanged, [](cold_start_limiter& a) { a.observe({ .processStart = 2000, .completed = 9 }); } },
    { "counter", cold_reason::CounterDecreased, [](cold_start_limiter& a) { a.observe({ .processStart = 1000, .completed = 4 }); } },
    { "counter alone", cold_reason::CounterDecreased, [](cold_start_limiter& a) { a.observe({ .completed = 4 }); } },
    { "reset", cold_reason::ConnectionReset, [](cold_start_limiter& a) { a.recordConnectionReset(); } },
    { "slow first tokens", cold_reason::SlowFirstTokens, [](cold_start_limiter& a) { a.recordFirstToken(a.recordDispatch(), 6s); a.recordFirstToken(a.recordDispatch(), 6s); } },
};

BOOST_DATA_TEST_CASE(coldTurnIsDetected, boost::unit_test::data::make(coldTurnCases), test)
{
    cold_start_limiter allowance = warmServer();
    BOOST_TEST(allowance.limit() == 64);
    const std::uint64_t before = allowance.recordDispatch();
    test.happen(allowance);
    BOOST_TEST(allowance.limit() == 2);
    BOOST_TEST((allowance.reason() == test.reason));
    for (int completion = 0; completion < 10; ++completion)
        allowance.recordCompletion(before); // Work of the old process says nothing about the new one.
    BOOST_TEST(allowance.limit() == 2);
}

BOOST_AUTO_TEST_CASE(oneSlowFirstTokenAmongFastOnesIsNoColdTurn)
{
    cold_start_limiter allowance = warmServer();
    for (int round = 0; round < 10; ++round) {
        allowance.recordFirstToken(allowance.recordDispatch(), 6s);
        allowance.recordFirstToken(allowance.recordDispatch(), 1s);
    }
    BOOST_TEST(allowance.isWarm());
}

BOOST_DATA_TEST_CASE(fewRequestsMeetAServerThatHasJustTurnedCold, boost::unit_test::data::make({ 1, 8, 20 }), unconfirmedLimit)
{
    cold_start_limiter allowance = warmServer({ .unconfirmedLimit = unconfirmedLimit });
    std::vector<std::uint64_t> sent; // The server is gone and shows nothing.
    while (allowance.canDispatch() && sent.size() < 100)
        sent.push_back(allowance.recordDispatch());
    BOOST_TEST(sent.size() == static_cast<std::size_t>(std::max(unconfirmedLimit, 2)));
    // A sign speaks for its own request alone, so it makes room for one more and not for two.
    allowance.recordFirstToken(sent.back(), 1s);
    BOOST_TEST(allowance.canDispatch());
    allowance.recordDispatch();
    BOOST_TEST(!allowance.canDispatch());
}

BOOST_AUTO_TEST_CASE(abandonedRequestsDoNotCloseTheServer)
{
    cold_start_limiter allowance = warmServer();
    for (int request = 0; request < 100; ++request) {
        BOOST_TEST(allowance.canDispatch());
        allowance.recordAbandonment(allowance.recordDispatch());
    }
}
