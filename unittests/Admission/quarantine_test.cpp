// Tests that a request that crashes two servers is stopped everywhere, for a while, in bounded memory.
#include "radishflow/Admission/quarantine.h"
#include "radishflow/Support/manual_clock.h"

#include <boost/test/unit_test.hpp>

using namespace radishflow;
using namespace std::chrono_literals;

static request_fingerprint numbered(std::uint64_t number)
{
    return { .high = number, .low = number };
}

static const server_id one { "one" };
static const server_id two { "two" };

BOOST_AUTO_TEST_CASE(secondServerQuarantinesAndTheSameServerDoesNot)
{
    manual_clock clock;
    quarantine<manual_clock> here { clock, { .retention = 10min } };
    here.recordCrash(one, { numbered(1), numbered(2) });
    here.recordCrash(one, { numbered(1) });
    BOOST_TEST((here.stateOf(numbered(1)) == quarantine_state::Suspect));
    clock.advance(1min);
    here.recordCrash(two, { numbered(1), numbered(3) });
    BOOST_TEST((here.stateOf(numbered(1)) == quarantine_state::Quarantined));
    BOOST_TEST((here.stateOf(numbered(2)) == quarantine_state::Suspect));
    BOOST_TEST((here.remaining(numbered(1)) == 9min));
    clock.advance(9min);
    BOOST_TEST((here.stateOf(numbered(1)) == quarantine_state::Suspect));
    clock.advance(1min);
    BOOST_TEST((here.stateOf(numbered(1)) == quarantine_state::Clear));
}

BOOST_AUTO_TEST_CASE(crashesThroughTwoDaemonsCountTogether)
{
    manual_clock clock;
    manual_clock otherClock;
    otherClock.advance(5h);
    quarantine<manual_clock> here { clock, {} };
    quarantine<manual_clock> there { otherClock, {} };
    quarantine<manual_clock> third { clock, {} };
    here.recordCrash(one, { numbered(1) });
    there.merge(here.takeNewRecords());
    BOOST_TEST((there.stateOf(numbered(1)) == quarantine_state::Suspect));
    there.recordCrash(two, { numbered(1) });
    BOOST_TEST((there.stateOf(numbered(1)) == quarantine_state::Quarantined));
    third.merge(there.takeNewRecords()); // Carries on what was merged.
    BOOST_TEST((third.stateOf(numbered(1)) == quarantine_state::Quarantined));
    BOOST_TEST(here.takeNewRecords().empty());
    quarantine<manual_clock> fresh { clock, {} };
    fresh.merge(there.allRecords());
    BOOST_TEST((fresh.stateOf(numbered(1)) == quarantine_state::Quarantined));
}

BOOST_AUTO_TEST_CASE(recordsThatTravelInCirclesEnd)
{
    manual_clock clock;
    quarantine<manual_clock> here { clock, { .retention = 10min } };
    here.recordCrash(one, { numbered(1) });
    here.recordCrash(two, { numbered(1) });
    const auto echo = here.takeNewRecords();
    clock.advance(9min);
    here.merge(echo);
    BOOST_TEST(here.takeNewRecords().empty());
    quarantine<manual_clock> late { clock, { .retention = 10min } };
    late.merge(here.allRecords());
    BOOST_TEST((late.stateOf(numbered(1)) == quarantine_state::Quarantined));
    clock.advance(1min);
    BOOST_TEST((late.stateOf(numbered(1)) == quarantine_state::Clear));
    BOOST_TEST((here.stateOf(numbered(1)) == quarantine_state::Clear));
}

BOOST_AUTO_TEST_CASE(memoryIsBoundedAndSuspectsGoFirst)
{
    manual_clock clock;
    quarantine<manual_clock> here { clock, { .retention = 2h, .capacity = 100 } };
    here.recordCrash(one, { numbered(7) });
    here.recordCrash(two, { numbered(7) });
    for (std::uint64_t number = 1000; number < 3000; ++number) {
        clock.advance(1s);
        here.recordCrash(one, { numbered(number) });
    }
    BOOST_TEST(here.size() <= 100U);
    BOOST_TEST(here.takeNewRecords().size() <= 100U);
    BOOST_TEST((here.stateOf(numbered(7)) == quarantine_state::Quarantined));
    BOOST_TEST((here.stateOf(numbered(2999)) == quarantine_state::Suspect));
}

BOOST_AUTO_TEST_CASE(fingerprintsKeepTheirPartsApart)
{
    const auto first = fingerprintOf(workspace_id { "a" }, service_id { "bc" }, "d");
    BOOST_TEST((first == fingerprintOf(workspace_id { "a" }, service_id { "bc" }, "d")));
    BOOST_TEST((first != fingerprintOf(workspace_id { "ab" }, service_id { "c" }, "d")));
    BOOST_TEST((first != fingerprintOf(workspace_id { "a" }, service_id { "b" }, "cd")));
}
