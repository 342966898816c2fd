// Tests retry_budget and workspace_limiter.
#include "radishflow/Admission/retry_budget.h"
#include "radishflow/Admission/workspace_limiter.h"
#include "radishflow/Support/manual_clock.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace radishflow;
using namespace std::chrono_literals;

static int consumeRetries(retry_budget<manual_clock>& budget)
{
    int granted = 0;
    while (budget.tryRetry())
        ++granted;
    return granted;
}

BOOST_AUTO_TEST_CASE(retriesAreLimitedByTheSuccessesAndTheRate)
{
    manual_clock clock;
    retry_budget<manual_clock> budget { clock, { .retriesPerSuccess = 0.25, .retriesPerSecond = 0.5, .capacity = 10 } };
    BOOST_TEST(consumeRetries(budget) == 10);
    for (int success = 0; success < 12; ++success)
        budget.succeeded();
    BOOST_TEST(consumeRetries(budget) == 3);
    clock.advance(4s);
    BOOST_TEST(consumeRetries(budget) == 2);
    clock.advance(1h);
    BOOST_TEST(consumeRetries(budget) == 10);
}

BOOST_DATA_TEST_CASE(limitIsDividedAmongOwnersInProportionToTheirServers, boost::unit_test::data::make({ 1, 4, 20 }), ownServers)
{
    workspace_limiter limiter;
    const workspace_id large { "large" };
    limiter.configure({ { large, { .maxRunning = 10 } } }, {});
    limiter.setShare(ownServers, 20);
    int started = 0;
    while (limiter.tryStart(large))
        ++started;
    BOOST_TEST(started == (ownServers + 1) / 2);
    BOOST_TEST(limiter.tryStart(workspace_id { "without a limit" }));
    limiter.finished(large);
    BOOST_TEST(!limiter.isAtLimit(large));
}

BOOST_AUTO_TEST_CASE(idleWorkspacesUseNoMemory)
{
    workspace_limiter limiter;
    for (int workspace = 0; workspace < 23000; ++workspace) {
        const workspace_id id { std::to_string(workspace) };
        limiter.tryStart(id);
        limiter.finished(id);
    }
    BOOST_TEST(limiter.size() == 0U);
}
