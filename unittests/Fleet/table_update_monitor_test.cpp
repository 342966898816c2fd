// Tests what daemons tell each other of the platform's tables, and when one asks for itself.
#include "radishflow/Fleet/table_update_monitor.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>

using namespace radishflow;
using namespace std::chrono_literals;

namespace {

constexpr time_point start { 1h };

struct news_case {
    const char* name;
    table_progress own;
    table_update fleet;
    bool publishes;
    bool isConfirmed;
};

std::ostream& operator<<(std::ostream& out, const news_case& each) { return out << each.name; }

const news_case cases[] {
    { "nothing known", {}, {}, false, false },
    { "first news", { { 5000ms, 3 }, 9 }, {}, true, false },
    { "others are newer, nothing changed", { { 5000ms, 3 }, 9 }, { 6000ms, 3 }, false, true },
    { "others know a change that is known here", { { 5000ms, 3 }, 9 }, { 6000ms, 9 }, false, true },
    { "others know a change that isn't", { { 5000ms, 3 }, 9 }, { 6000ms, 10 }, false, false },
    { "a confirmation that is hardly newer", { { 6100ms, 3 }, 9 }, { 6000ms, 3 }, false, true },
    { "a newer confirmation", { { 6800ms, 3 }, 9 }, { 6000ms, 3 }, true, true },
    { "a change that others don't know", { { 6010ms, 8 }, 9 }, { 6000ms, 3 }, true, true },
    { "behind, though heard later", { { 9000ms, 8 }, 9 }, { 6000ms, 12 }, false, false },
};

} // namespace

BOOST_DATA_TEST_CASE(newsAreComparedWithTheFleets, boost::unit_test::data::make(cases), each)
{
    table_update_monitor watch { { .publishesConfirmations = true } };
    const table_update_decision step = watch.step(each.own, each.fleet, start);
    BOOST_TEST(step.publish.has_value() == each.publishes);
    BOOST_TEST(step.isConfirmed == each.isConfirmed);
    BOOST_TEST(!step.needsCatchUp);
    if (step.publish) {
        BOOST_TEST((step.publish->storeTime >= each.fleet.storeTime));
        BOOST_TEST(step.publish->lastChangeRevision >= each.fleet.lastChangeRevision);
    }
}

BOOST_AUTO_TEST_CASE(silentCallIsNoticedByTheFleetsNews)
{
    table_update_monitor watch { {} };
    const table_progress own { { 5000ms, 3 }, 9 };
    const table_update fleet { 6000ms, 12 };
    BOOST_TEST(!watch.step(own, fleet, start).needsCatchUp);
    BOOST_TEST(!watch.step(own, fleet, start + 400ms).needsCatchUp);
    BOOST_TEST(watch.step(own, fleet, start + 500ms).needsCatchUp);
    const table_progress caughtUp { { 6500ms, 12 }, 13 };
    BOOST_TEST(!watch.step(caughtUp, fleet, start + 600ms).needsCatchUp);
    BOOST_TEST(!watch.step(own, { 7000ms, 20 }, start + 700ms).needsCatchUp);
}

BOOST_AUTO_TEST_CASE(tablesThatNeedNoConfirmationSpreadChangesOnly)
{
    table_update_monitor watch { {} };
    BOOST_TEST(!watch.step({ { 60000ms, 3 }, 9 }, { 6000ms, 3 }, start).publish.has_value());
    BOOST_TEST(watch.step({ { 60000ms, 4 }, 9 }, { 6000ms, 3 }, start).publish.has_value());
}
