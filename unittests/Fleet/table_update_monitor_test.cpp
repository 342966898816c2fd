// Tests when a daemon publishes an update of a table, and when it reads the table again.
#include "radishflow/Fleet/table_update_monitor.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>

using namespace radishflow;
using namespace std::chrono_literals;

namespace {

constexpr time_point startTime { 1h };

struct update_case {
    const char* name;
    table_progress own;
    table_update fleet;
    bool publishes;
    bool isConfirmed;
};

std::ostream& operator<<(std::ostream& out, const update_case& test) { return out << test.name; }

const update_case cases[] {
    { "no update", {}, {}, false, false },
    { "first update", { { 5000ms, 3 }, 9 }, {}, true, false },
    { "later confirmation in the fleet", { { 5000ms, 3 }, 9 }, { 6000ms, 3 }, false, true },
    { "change in the fleet that was received", { { 5000ms, 3 }, 9 }, { 6000ms, 9 }, false, true },
    { "change in the fleet that was missed", { { 5000ms, 3 }, 9 }, { 6000ms, 10 }, false, false },
    { "confirmation within the interval", { { 6100ms, 3 }, 9 }, { 6000ms, 3 }, false, true },
    { "confirmation after the interval", { { 6800ms, 3 }, 9 }, { 6000ms, 3 }, true, true },
    { "change that the fleet lacks", { { 6010ms, 8 }, 9 }, { 6000ms, 3 }, true, true },
    { "missed change, later reading of the clock", { { 9000ms, 8 }, 9 }, { 6000ms, 12 }, false, false },
};

} // namespace

BOOST_DATA_TEST_CASE(publishesOnlyUpdatesThatAreNewerThanTheFleets, boost::unit_test::data::make(cases), test)
{
    table_update_monitor monitor { { .publishesConfirmations = true } };
    const table_update_decision decision = monitor.evaluate(test.own, test.fleet, startTime);
    BOOST_TEST(decision.publish.has_value() == test.publishes);
    BOOST_TEST(decision.isConfirmed == test.isConfirmed);
    BOOST_TEST(!decision.needsCatchUp);
    if (decision.publish) {
        BOOST_TEST((decision.publish->storeTime >= test.fleet.storeTime));
        BOOST_TEST(decision.publish->lastChangeRevision >= test.fleet.lastChangeRevision);
    }
}

// A long poll that has stopped delivering changes would go unnoticed until it timed out. The monitor must ask for a
// catch-up once it has lagged behind the fleet's update for maxLag, and restart that time after catching up.
BOOST_AUTO_TEST_CASE(lagOfMaxLagBehindTheFleetRequiresCatchUp)
{
    table_update_monitor monitor { {} };
    const table_progress own { { 5000ms, 3 }, 9 };
    const table_update fleet { 6000ms, 12 };
    BOOST_TEST(!monitor.evaluate(own, fleet, startTime).needsCatchUp);
    BOOST_TEST(!monitor.evaluate(own, fleet, startTime + 400ms).needsCatchUp);
    BOOST_TEST(monitor.evaluate(own, fleet, startTime + 500ms).needsCatchUp);
    const table_progress caughtUp { { 6500ms, 12 }, 13 };
    BOOST_TEST(!monitor.evaluate(caughtUp, fleet, startTime + 600ms).needsCatchUp);
    BOOST_TEST(!monitor.evaluate(own, { 7000ms, 20 }, startTime + 700ms).needsCatchUp);
}

// A daemon that does not follow the table itself fetches announced changes from another daemon at once, and asks the store
// only if none has delivered them within 1.5 times maxLag.
BOOST_AUTO_TEST_CASE(daemonThatDoesNotFollowFetchesChangesAtOnce)
{
    table_update_monitor monitor { {} };
    const table_progress own { { 5000ms, 3 }, 9 };
    const table_update fleet { 6000ms, 12 };
    BOOST_TEST(!monitor.evaluate(own, { 6000ms, 9 }, startTime, false).needsFetch);
    BOOST_TEST(!monitor.evaluate(own, fleet, startTime, true).needsFetch);
    const table_update_decision first = monitor.evaluate(own, fleet, startTime, false);
    BOOST_TEST(first.needsFetch);
    BOOST_TEST(!first.needsCatchUp);
    BOOST_TEST(!monitor.evaluate(own, fleet, startTime + 700ms, false).needsCatchUp);
    BOOST_TEST(monitor.evaluate(own, fleet, startTime + 750ms, false).needsCatchUp);
    BOOST_TEST(!monitor.evaluate({ { 6500ms, 12 }, 13 }, fleet, startTime + 800ms, false).needsFetch);
}

// A poll of its own that gets no response must not delay changes which other daemons have.
BOOST_AUTO_TEST_CASE(followerWhosePollsBringNothingFetchesChangesBeforeItAsksTheStore)
{
    table_update_monitor monitor { {} };
    const table_progress own { { 5000ms, 3 }, 9 };
    const table_update fleet { 6000ms, 12 };
    BOOST_TEST(!monitor.evaluate(own, fleet, startTime).needsFetch);
    BOOST_TEST(!monitor.evaluate(own, fleet, startTime + 250ms).needsFetch);
    const table_update_decision lagging = monitor.evaluate(own, fleet, startTime + 300ms);
    BOOST_TEST(lagging.needsFetch);
    BOOST_TEST(!lagging.needsCatchUp);
}

BOOST_AUTO_TEST_CASE(withoutConfirmationsOnlyChangesArePublished)
{
    table_update_monitor monitor { {} };
    BOOST_TEST(!monitor.evaluate({ { 60000ms, 3 }, 9 }, { 6000ms, 3 }, startTime).publish.has_value());
    BOOST_TEST(monitor.evaluate({ { 60000ms, 4 }, 9 }, { 6000ms, 3 }, startTime).publish.has_value());
}
