// Tests that cold_start_limiter grows by completions, detects a restart by each kind of evidence, and bounds the requests
// sent before the detection.
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
    cold_start_limiter limiter { options };
    limiter.observe({ .processStart = 1000, .completed = 5 });
    while (!limiter.isWarm())
        limiter.recordCompletion(limiter.recordDispatch());
    return limiter;
}

BOOST_AUTO_TEST_CASE(limitGrowsWithCompletionsOnly)
{
    cold_start_limiter limiter { { .coldLimit = 2, .fullLimit = 5, .completionsPerStep = 3 } };
    BOOST_TEST(limiter.limit() == 2);
    for (int reading = 0; reading < 100; ++reading)
        limiter.observe({ .processStart = 1000, .completed = 7 });
    BOOST_TEST(limiter.limit() == 2);
    for (int completion = 0; completion < 8; ++completion)
        limiter.recordCompletion(limiter.recordDispatch());
    BOOST_TEST(limiter.limit() == 4);
    limiter.recordCompletion(limiter.recordDispatch());
    limiter.recordCompletion(limiter.recordDispatch());
    BOOST_TEST(limiter.limit() == 5);
}

struct restart_case {
    const char* name;
    cold_reason reason;
    std::function<void(cold_start_limiter&)> giveEvidence;
};

static std::ostream& operator<<(std::ostream& out, const restart_case& test)
{
    return out << test.name;
}

static const restart_case restartCases[] {
    { "new process start", cold_reason::ProcessChanged, [](cold_start_limiter& limiter) { limiter.observe({ .processStart = 2000, .completed = 9 }); } },
    { "counter decreased", cold_reason::CounterDecreased, [](cold_start_limiter& limiter) { limiter.observe({ .processStart = 1000, .completed = 4 }); } },
    { "counter decreased without process start", cold_reason::CounterDecreased, [](cold_start_limiter& limiter) { limiter.observe({ .completed = 4 }); } },
    { "connection reset", cold_reason::ConnectionReset, [](cold_start_limiter& limiter) { limiter.recordConnectionReset(); } },
    { "slow first tokens", cold_reason::SlowFirstTokens, [](cold_start_limiter& limiter) { limiter.recordFirstToken(limiter.recordDispatch(), 6s); limiter.recordFirstToken(limiter.recordDispatch(), 6s); } },
};

BOOST_DATA_TEST_CASE(evidenceOfARestartResetsTheLimitToCold, boost::unit_test::data::make(restartCases), test)
{
    cold_start_limiter limiter = warmServer();
    BOOST_TEST(limiter.limit() == 64);
    const std::uint64_t sentBeforeRestart = limiter.recordDispatch();
    test.giveEvidence(limiter);
    BOOST_TEST(limiter.limit() == 2);
    BOOST_TEST((limiter.reason() == test.reason));
    for (int completion = 0; completion < 10; ++completion)
        limiter.recordCompletion(sentBeforeRestart); // Work of the old process is no evidence that the new one is warm.
    BOOST_TEST(limiter.limit() == 2);
}

BOOST_AUTO_TEST_CASE(alternatingSlowFirstTokensDoNotResetTheLimit)
{
    cold_start_limiter limiter = warmServer();
    for (int round = 0; round < 10; ++round) {
        limiter.recordFirstToken(limiter.recordDispatch(), 6s);
        limiter.recordFirstToken(limiter.recordDispatch(), 1s);
    }
    BOOST_TEST(limiter.isWarm());
}

// A server that restarts unnoticed is overloaded if requests are sent to it at the limit of a warm server. Without evidence
// that it is warm, only unconfirmedLimit requests, or coldLimit if that is more, may be in flight.
BOOST_DATA_TEST_CASE(unconfirmedRequestsAreLimitedBeforeARestartIsDetected, boost::unit_test::data::make({ 1, 8, 20 }), unconfirmedLimit)
{
    cold_start_limiter limiter = warmServer({ .unconfirmedLimit = unconfirmedLimit });
    std::vector<std::uint64_t> sent; // The server has ended and gives no evidence.
    while (limiter.canDispatch() && sent.size() < 100)
        sent.push_back(limiter.recordDispatch());
    BOOST_TEST(sent.size() == static_cast<std::size_t>(std::max(unconfirmedLimit, 2)));
    // A first token confirms only its own request, so it allows one more request and not two.
    limiter.recordFirstToken(sent.back(), 1s);
    BOOST_TEST(limiter.canDispatch());
    limiter.recordDispatch();
    BOOST_TEST(!limiter.canDispatch());
}

BOOST_AUTO_TEST_CASE(abandonedRequestsDoNotExhaustTheUnconfirmedLimit)
{
    cold_start_limiter limiter = warmServer();
    for (int request = 0; request < 100; ++request) {
        BOOST_TEST(limiter.canDispatch());
        limiter.recordAbandonment(limiter.recordDispatch());
    }
}
