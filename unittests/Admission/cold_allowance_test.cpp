// Tests growth by completions, each way of detecting a cold turn, and how much can be sent before it.
#include "radishflow/Admission/cold_allowance.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <functional>
#include <ostream>
#include <vector>

using namespace radishflow;
using namespace std::chrono_literals;

static cold_allowance warmServer(const cold_allowance_options& options = {})
{
    cold_allowance allowance { options };
    allowance.observe({ .processStart = 1000, .completed = 5 });
    while (!allowance.isWarm())
        allowance.completed(allowance.dispatched());
    return allowance;
}

BOOST_AUTO_TEST_CASE(growsWithCompletionsOnly)
{
    cold_allowance allowance { { .coldLimit = 2, .fullLimit = 5, .completionsPerStep = 3 } };
    BOOST_TEST(allowance.limit() == 2);
    for (int reading = 0; reading < 100; ++reading)
        allowance.observe({ .processStart = 1000, .completed = 7 });
    BOOST_TEST(allowance.limit() == 2);
    for (int completion = 0; completion < 8; ++completion)
        allowance.completed(allowance.dispatched());
    BOOST_TEST(allowance.limit() == 4);
    allowance.completed(allowance.dispatched());
    allowance.completed(allowance.dispatched());
    BOOST_TEST(allowance.limit() == 5);
}

struct cold_turn_case {
    const char* name;
    cold_reason reason;
    std::function<void(cold_allowance&)> happen;
};

static std::ostream& operator<<(std::ostream& out, const cold_turn_case& test)
{
    return out << test.name;
}

static const cold_turn_case coldTurnCases[] {
    { "process start", cold_reason::ProcessChanged, [](cold_allowance& a) { a.observe({ .processStart = 2000, .completed = 9 }); } },
    { "counter", cold_reason::CounterFellBack, [](cold_allowance& a) { a.observe({ .processStart = 1000, .completed = 4 }); } },
    { "counter alone", cold_reason::CounterFellBack, [](cold_allowance& a) { a.observe({ .completed = 4 }); } },
    { "reset", cold_reason::ConnectionReset, [](cold_allowance& a) { a.connectionReset(); } },
    { "slow first tokens", cold_reason::SlowFirstTokens, [](cold_allowance& a) { a.firstToken(a.dispatched(), 6s); a.firstToken(a.dispatched(), 6s); } },
};

BOOST_DATA_TEST_CASE(coldTurnIsDetected, boost::unit_test::data::make(coldTurnCases), test)
{
    cold_allowance allowance = warmServer();
    BOOST_TEST(allowance.limit() == 64);
    const std::uint64_t before = allowance.dispatched();
    test.happen(allowance);
    BOOST_TEST(allowance.limit() == 2);
    BOOST_TEST((allowance.reason() == test.reason));
    for (int completion = 0; completion < 10; ++completion)
        allowance.completed(before); // Work of the old process says nothing about the new one.
    BOOST_TEST(allowance.limit() == 2);
}

BOOST_AUTO_TEST_CASE(oneSlowFirstTokenAmongFastOnesIsNoColdTurn)
{
    cold_allowance allowance = warmServer();
    for (int round = 0; round < 10; ++round) {
        allowance.firstToken(allowance.dispatched(), 6s);
        allowance.firstToken(allowance.dispatched(), 1s);
    }
    BOOST_TEST(allowance.isWarm());
}

BOOST_DATA_TEST_CASE(fewRequestsMeetAServerThatHasJustTurnedCold, boost::unit_test::data::make({ 1, 8, 20 }), unprovenLimit)
{
    cold_allowance allowance = warmServer({ .unprovenLimit = unprovenLimit });
    std::vector<std::uint64_t> sent; // The server is gone and shows nothing.
    while (allowance.mayDispatch() && sent.size() < 100)
        sent.push_back(allowance.dispatched());
    BOOST_TEST(sent.size() == static_cast<std::size_t>(std::max(unprovenLimit, 2)));
    // A sign speaks for its own request alone, so it makes room for one more and not for two.
    allowance.firstToken(sent.back(), 1s);
    BOOST_TEST(allowance.mayDispatch());
    allowance.dispatched();
    BOOST_TEST(!allowance.mayDispatch());
}

BOOST_AUTO_TEST_CASE(abandonedRequestsDoNotCloseTheServer)
{
    cold_allowance allowance = warmServer();
    for (int request = 0; request < 100; ++request) {
        BOOST_TEST(allowance.mayDispatch());
        allowance.abandoned(allowance.dispatched());
    }
}
