// Tests that a request that crashes two servers is quarantined at all daemons for a limited time, in bounded memory.
#include "radishflow/Admission/quarantine.h"
#include "radishflow/Support/manual_clock.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <vector>

using namespace radishflow;
using namespace std::chrono_literals;

static request_fingerprint fingerprintNumber(std::uint64_t number)
{
    return { .high = number, .low = number };
}

static const server_id one { "one" };
static const server_id two { "two" };

BOOST_AUTO_TEST_CASE(crashOfASecondServerQuarantinesTheRequestAndOneOfTheSameServerDoesNot)
{
    manual_clock clock;
    quarantine<manual_clock> local { clock, { .retention = 10min } };
    local.recordCrash(one, { fingerprintNumber(1), fingerprintNumber(2) });
    local.recordCrash(one, { fingerprintNumber(1) });
    BOOST_TEST((local.stateOf(fingerprintNumber(1)) == quarantine_state::Suspect));
    clock.advance(1min);
    local.recordCrash(two, { fingerprintNumber(1), fingerprintNumber(3) });
    BOOST_TEST((local.stateOf(fingerprintNumber(1)) == quarantine_state::Quarantined));
    BOOST_TEST((local.stateOf(fingerprintNumber(2)) == quarantine_state::Suspect));
    BOOST_TEST((local.remaining(fingerprintNumber(1)) == 9min));
    clock.advance(9min);
    BOOST_TEST((local.stateOf(fingerprintNumber(1)) == quarantine_state::Suspect));
    clock.advance(1min);
    BOOST_TEST((local.stateOf(fingerprintNumber(1)) == quarantine_state::Clear));
}

namespace {

constexpr auto none = response_progress::None;
constexpr auto steady = response_progress::Steady;

struct progress_case {
    const char* name;
    std::vector<response_progress> crashes; ///< One a minute, each of another server.
    quarantine_state state;
    std::chrono::minutes remaining; ///< Of a retention of 30 minutes, at the last crash.

    friend std::ostream& operator<<(std::ostream& out, const progress_case& testCase) { return out << testCase.name; }
};

const progress_case progressCases[] {
    { "one without progress", { none }, quarantine_state::Suspect, 0min },
    { "two without", { none, none }, quarantine_state::Quarantined, 29min },
    { "one with progress", { steady }, quarantine_state::Suspect, 0min },
    { "two with", { steady, steady }, quarantine_state::Suspect, 0min },
    { "four with", { steady, steady, steady, steady }, quarantine_state::Suspect, 0min },
    { "five with", { steady, steady, steady, steady, steady }, quarantine_state::Quarantined, 26min },
    { "one without, two with", { none, steady, steady }, quarantine_state::Suspect, 0min },
    { "one without, three with", { none, steady, steady, steady }, quarantine_state::Quarantined, 27min },
    { "one with, two without", { steady, none, none }, quarantine_state::Quarantined, 29min },
};

} // namespace

// Guards against refusals of streams that ran beside a crash, and against requests that crash servers late without end.
BOOST_DATA_TEST_CASE(crashesAfterProgressWeighLess, boost::unit_test::data::make(progressCases), testCase)
{
    manual_clock clock;
    clock.advance(1h);
    quarantine<manual_clock> local { clock, { .retention = 30min } };
    quarantine<manual_clock> other { clock, { .retention = 30min } };
    for (std::size_t crash = 0; crash < testCase.crashes.size(); ++crash) {
        if (crash > 0)
            clock.advance(1min);
        local.recordCrash(server_id { "i-" + std::to_string(crash) }, { fingerprintNumber(1) }, testCase.crashes[crash]);
    }
    other.merge(local.allRecords());
    for (const auto* each : { &local, &other }) {
        BOOST_TEST((each->stateOf(fingerprintNumber(1)) == testCase.state));
        BOOST_TEST((each->remaining(fingerprintNumber(1)) == testCase.remaining));
    }
}

// Two callers send the same request to one server, which makes progress on one of them before it crashes.
BOOST_AUTO_TEST_CASE(ofTwoAttemptsAtAServerTheOneWithoutProgressCounts)
{
    for (const bool isProgressFirst : { true, false }) {
        manual_clock clock;
        quarantine<manual_clock> local { clock, {} };
        quarantine<manual_clock> other { clock, {} };
        for (const server_id& server : { one, two }) {
            local.recordCrash(server, { fingerprintNumber(1) }, isProgressFirst ? steady : none);
            local.recordCrash(server, { fingerprintNumber(1) }, isProgressFirst ? none : steady);
        }
        other.merge(local.takeNewRecords());
        BOOST_TEST((local.stateOf(fingerprintNumber(1)) == quarantine_state::Quarantined));
        BOOST_TEST((other.stateOf(fingerprintNumber(1)) == quarantine_state::Quarantined));
    }
}

BOOST_AUTO_TEST_CASE(crashesDetectedByTwoDaemonsAreCombined)
{
    manual_clock clock;
    manual_clock otherClock;
    otherClock.advance(5h);
    quarantine<manual_clock> local { clock, {} };
    quarantine<manual_clock> other { otherClock, {} };
    quarantine<manual_clock> third { clock, {} };
    local.recordCrash(one, { fingerprintNumber(1) });
    other.merge(local.takeNewRecords());
    BOOST_TEST((other.stateOf(fingerprintNumber(1)) == quarantine_state::Suspect));
    other.recordCrash(two, { fingerprintNumber(1) });
    BOOST_TEST((other.stateOf(fingerprintNumber(1)) == quarantine_state::Quarantined));
    third.merge(other.takeNewRecords()); // Includes the merged records.
    BOOST_TEST((third.stateOf(fingerprintNumber(1)) == quarantine_state::Quarantined));
    BOOST_TEST(local.takeNewRecords().empty());
    quarantine<manual_clock> started { clock, {} };
    started.merge(other.allRecords());
    BOOST_TEST((started.stateOf(fingerprintNumber(1)) == quarantine_state::Quarantined));
}

// Daemons send each other what they merged. If receiving a record again extended its expiry time, a request would stay
// quarantined for ever.
BOOST_AUTO_TEST_CASE(recordsReceivedAgainKeepTheirExpiryTime)
{
    manual_clock clock;
    quarantine<manual_clock> local { clock, { .retention = 10min } };
    local.recordCrash(one, { fingerprintNumber(1) });
    local.recordCrash(two, { fingerprintNumber(1) });
    const auto returnedRecords = local.takeNewRecords();
    clock.advance(9min);
    local.merge(returnedRecords);
    BOOST_TEST(local.takeNewRecords().empty());
    quarantine<manual_clock> receiver { clock, { .retention = 10min } };
    receiver.merge(local.allRecords());
    BOOST_TEST((receiver.stateOf(fingerprintNumber(1)) == quarantine_state::Quarantined));
    clock.advance(1min);
    BOOST_TEST((receiver.stateOf(fingerprintNumber(1)) == quarantine_state::Clear));
    BOOST_TEST((local.stateOf(fingerprintNumber(1)) == quarantine_state::Clear));
}

BOOST_AUTO_TEST_CASE(memoryIsBoundedAndSuspectsAreEvictedFirst)
{
    manual_clock clock;
    quarantine<manual_clock> local { clock, { .retention = 2h, .capacity = 100 } };
    local.recordCrash(one, { fingerprintNumber(7) });
    local.recordCrash(two, { fingerprintNumber(7) });
    for (std::uint64_t number = 1000; number < 3000; ++number) {
        clock.advance(1s);
        local.recordCrash(one, { fingerprintNumber(number) });
    }
    BOOST_TEST(local.size() <= 100U);
    BOOST_TEST(local.takeNewRecords().size() <= 100U);
    BOOST_TEST((local.stateOf(fingerprintNumber(7)) == quarantine_state::Quarantined));
    BOOST_TEST((local.stateOf(fingerprintNumber(2999)) == quarantine_state::Suspect));
}

BOOST_AUTO_TEST_CASE(fingerprintsDifferIfTheSameTextIsSplitDifferently)
{
    const auto first = fingerprintOf(workspace_id { "a" }, service_id { "bc" }, "d");
    BOOST_TEST((first == fingerprintOf(workspace_id { "a" }, service_id { "bc" }, "d")));
    BOOST_TEST((first != fingerprintOf(workspace_id { "ab" }, service_id { "c" }, "d")));
    BOOST_TEST((first != fingerprintOf(workspace_id { "a" }, service_id { "b" }, "cd")));
}
