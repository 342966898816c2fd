// Tests that the production code keeps to the limit in random interleavings, and that the limit is exceeded in some
// interleaving when any one safety rule is disabled.
#include "random_schedule.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>

using namespace radishflow;
using namespace std::chrono_literals;

static term_options scheduleOptions()
{
    // Short terms cause many takeovers. Requests have no time limit here, so only reports account for former holders.
    return { .termLength = 3s, .renewInterval = 1s, .observeLength = 3500ms, .pollInterval = 500ms, .maxPollGap = 2s, .gracePeriod = 60s, .maxRequestDuration = 10000h, .arrivalMargin = 1ns, .rebalanceDelay = 4s, .window = 1 };
}

static constexpr int stepsPerSchedule = 4000;

BOOST_DATA_TEST_CASE(runningRequestsStayWithinLimit, boost::unit_test::data::make({ 0, 60, 120, 180 }), firstSeed)
{
    constexpr int schedules = 60;
    int written = 0;
    std::uint64_t terms = 0;
    for (int seed = firstSeed; seed < firstSeed + schedules; ++seed) {
        random_schedule schedule { static_cast<std::uint64_t>(seed), scheduleOptions() };
        BOOST_TEST(schedule.run(stepsPerSchedule), "seed " << seed);
        written += schedule.written();
        terms += schedule.highestTerm();
    }
    BOOST_TEST(written > schedules * 150); // The schedules are not idle.
    BOOST_TEST(terms > schedules * 10U);
}

struct rule_case {
    const char* name;
    bool safety_rules::*rule;
    std::uint64_t firstSeed; ///< First seed to try; any failing schedule from here on passes the test.
};

static std::ostream& operator<<(std::ostream& out, const rule_case& test)
{
    return out << test.name;
}

static const rule_case ruleCases[] {
    { "reserveWindow", &safety_rules::reserveWindow, 356 },
    { "waitForReport", &safety_rules::waitForReport, 2 },
    { "graceRequiresSettled", &safety_rules::graceRequiresSettled, 574 },
    { "reportByOrigin", &safety_rules::reportByOrigin, 221 },
    { "termFromSending", &safety_rules::termFromSending, 2307 },
    { "markFormerHolder", &safety_rules::markFormerHolder, 837 },
};

BOOST_DATA_TEST_CASE(disablingAnyRuleExceedsLimit, boost::unit_test::data::make(ruleCases), test)
{
    term_options options = scheduleOptions();
    options.rules.*test.rule = false;
    constexpr std::uint64_t maxSeeds = 5000;
    const std::uint64_t lastSeed = test.firstSeed + maxSeeds;
    std::uint64_t seed = test.firstSeed;
    while (seed < lastSeed && random_schedule { seed, options }.run(stepsPerSchedule))
        ++seed;
    BOOST_TEST(seed < lastSeed);
    BOOST_TEST((random_schedule { seed, scheduleOptions() }.run(stepsPerSchedule))); // The same schedule passes with the rule.
    BOOST_TEST_MESSAGE("Without " << test.name << " the limit is exceeded with seed " << seed);
}
