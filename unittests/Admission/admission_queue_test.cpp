// Tests that admission_queue bounds its memory and its waits, and that a burst from a few workspaces starves no other.
#include "radishflow/Admission/admission_queue.h"
#include "radishflow/Support/manual_clock.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <map>

using namespace radishflow;
using namespace std::chrono_literals;

struct queue_test {
    std::optional<refused_request> add(const std::string& workspace, int urgency = 3, double weight = 1, duration timeout = 1h)
    {
        return queue.enqueue({ .id = request_id { std::to_string(++added) }, .workspace = workspace_id { workspace }, .priority = request_priority { urgency }, .weight = weight, .deadline = clock.now() + timeout });
    }

    std::string next()
    {
        const auto request = queue.dequeue();
        return request ? request->workspace.value() : "";
    }

    manual_clock clock;
    admission_queue<manual_clock> queue { clock, { .capacity = 64, .maxWait = 10s } };
    int added = 0;
};

// Without fairness a burst of urgent requests from one workspace would fill the queue and evict the few, less urgent
// requests of others. Only the burst's own requests may be evicted, and all others must be served.
BOOST_AUTO_TEST_CASE(burstOfOneWorkspaceEvictsOnlyItsOwnRequests)
{
    queue_test test;
    for (int request = 0; request < 1000; ++request)
        test.add("loud", 0);
    for (int quiet = 0; quiet < 20; ++quiet)
        BOOST_TEST((test.add("quiet" + std::to_string(quiet), 7)->id != request_id { std::to_string(test.added) }));
    BOOST_TEST(test.queue.size() == 64U);
    int served = 0;
    for (int dequeued = 0; dequeued < 40; ++dequeued)
        served += test.next().starts_with("quiet") ? 1 : 0;
    BOOST_TEST(served == 20);
}

BOOST_DATA_TEST_CASE(serviceIsProportionalToWeights, boost::unit_test::data::make({ 1.0, 2.0, 4.0 }), weight)
{
    queue_test test;
    std::map<std::string, int> served;
    for (int round = 0; round < 1000; ++round) {
        test.add("a", 3, weight);
        test.add("b", 3, 1);
        test.add("a", 3, weight);
        test.add("b", 3, 1);
        ++served[test.next()];
    }
    BOOST_TEST(std::abs(served["a"] - weight * served["b"]) <= 10);
}

BOOST_AUTO_TEST_CASE(urgencyOrdersWithinAWorkspaceAndWeighsBetweenWorkspaces)
{
    queue_test test;
    test.add("a", 7);
    test.add("a", 1);
    BOOST_TEST(test.queue.dequeue()->priority.urgency() == 1);
    std::map<std::string, int> served;
    for (int round = 0; round < 900; ++round) {
        test.add("low", 6);
        test.add("high", 3);
        ++served[test.next()];
    }
    BOOST_TEST(served["low"] >= 90); // An eighth of the weight, never nothing.
    BOOST_TEST(served["high"] >= 780);
}

BOOST_AUTO_TEST_CASE(nothingWaitsPastItsDeadlineOrTheLongestWait)
{
    queue_test test;
    BOOST_TEST(test.add("late", 3, 1, 0s).has_value());
    test.add("short", 3, 1, 2s);
    test.add("long");
    test.clock.advance(2s);
    BOOST_TEST(test.queue.removeExpired().size() == 1U);
    test.clock.advance(8s);
    BOOST_TEST(test.next().empty());
    const auto refused = test.queue.removeExpired();
    BOOST_REQUIRE_EQUAL(refused.size(), 1U);
    BOOST_TEST((refused[0].retryAfter >= 1s && refused[0].retryAfter <= 30s));
    BOOST_TEST(test.queue.size() == 0U);
}

BOOST_AUTO_TEST_CASE(memoryIsBoundedWithAllWorkspaces)
{
    queue_test test;
    for (int round = 0; round < 3; ++round) {
        for (int workspace = 0; workspace < 23000; ++workspace) {
            test.add(std::to_string(workspace));
            test.next();
        }
    }
    BOOST_TEST(test.queue.size() <= 64U);
    BOOST_TEST(test.queue.shareEntryCount() <= fair_share::maxWorkspaces);
}
