// Tests daemons with a write of unknown outcome, a second process of the same name, and the conditions of a takeover.
#include "radishflow/Terms/takeover.h"

#include "test_fleet.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace radishflow;
using namespace std::chrono_literals;

/// Two daemons; the holder of the server has five requests there and a release whose outcome is unknown.
struct unresolved_release {
    unresolved_release()
    {
        fleet.view.daemons[1].zone = zone_id { "far" };
        fleet.run(40s);
        for (int request = 0; request < 5; ++request) {
            fleet.admitOne(holder);
            fleet.writeOne(holder);
        }
        fleet.view.daemons[0].zone = zone_id { "farther" };
        fleet.view.daemons[0].region = region_id { "other" };
        holder.table.delayedKey = "terms/owners/s";
        fleet.run(25s);
    }

    test_fleet fleet { 2 };
    test_daemon& holder = fleet.daemons[0];
    test_daemon& successor = fleet.daemons[1];
};

BOOST_DATA_TEST_CASE(gateStaysClosedWhileReleaseOutcomeIsUnknown, boost::unit_test::data::make({ false, true }), hasLapsed)
{
    unresolved_release test;
    test.holder.table.isDisconnected = true;
    test.fleet.view.daemons[0].zone = zone_id { "z" }; // The holder ranks highest again.
    test.fleet.view.daemons[0].region = region_id { "r" };
    test.successor.isPaused = true;
    test.fleet.run(hasLapsed ? 40s : 2s);
    BOOST_TEST((test.holder.owners.phase() == (hasLapsed ? term_phase::Grace : term_phase::Running)));
    BOOST_TEST(test.fleet.fill(test.holder) == 0);
    BOOST_TEST((test.fleet.lastReason == refusal_reason::HandingOver));
    test.holder.table.deliverDelayed();
    test.successor.isPaused = false;
    test.fleet.view.daemons[0].isAlive = false;
    test.fleet.run(5s);
    BOOST_TEST(test.fleet.fill(test.successor) == 7);
    BOOST_TEST(test.fleet.maxTotal == 12);
}

BOOST_AUTO_TEST_CASE(releaseWithoutEffectIsResolvedByNextRelease)
{
    unresolved_release test;
    test.fleet.view.daemons[0].zone = zone_id { "z" };
    test.fleet.view.daemons[0].region = region_id { "r" };
    test.holder.table.delayedKey.clear();
    test.fleet.run(5s);
    BOOST_TEST(test.fleet.fill(test.holder) == 7);
}

BOOST_AUTO_TEST_CASE(newProcessOfSameNameSupersedesOldOne)
{
    test_fleet fleet { 1 };
    test_daemon& old = fleet.daemons[0];
    fleet.run(11s); // Just after a renewal.
    test_daemon replacement { fleet.table, "d0", fleet.options, 999 };
    replacement.owners.step(replacement.table, fleet.view);
    BOOST_TEST(replacement.owners.incarnation().value() == 2U);
    fleet.run(1500ms); // Less than renewInterval.
    BOOST_TEST(old.owners.isSuperseded());
    BOOST_TEST((old.owners.phase() == term_phase::Ended));
    BOOST_TEST(old.owners.ownedServers().empty());
}

BOOST_AUTO_TEST_CASE(takeoverHasConditionsOnAllThreeRows)
{
    const takeover_request request { .server = server_id { "s" }, .self = daemon_id { "b" }, .incarnation = incarnation_number { 1 }, .ownRevision = 9 };
    const observed_ownership known { .row = { .daemon = daemon_id { "a" }, .incarnation = incarnation_number { 1 }, .term = term_number { 4 } }, .revision = 7 };
    const observed_renewal former { .row = { .incarnation = incarnation_number { 1 } }, .revision = 8 };
    BOOST_TEST(!planTakeover(request, &known, &former, false, {}));
    const auto plan = planTakeover(request, &known, &former, true, {});
    BOOST_REQUIRE(plan);
    BOOST_TEST(plan->row.term.value() == 5U);
    BOOST_REQUIRE_EQUAL(plan->conditions.size(), 3U);
    BOOST_TEST((plan->conditions[0].key == "terms/owners/s" && plan->conditions[0].modRevision == 7));
    BOOST_TEST((plan->conditions[1].key == "terms/renewals/b" && plan->conditions[1].modRevision == 9));
    BOOST_TEST((plan->conditions[2].key == "terms/renewals/a" && plan->conditions[2].modRevision == 8));
    BOOST_REQUIRE_EQUAL(plan->furtherWrites.size(), 1U);
    BOOST_TEST((parseRenewalRow(plan->furtherWrites[0].value)->state == renewal_state::Lapsed));
}
