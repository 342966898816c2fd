// Tests that no order runs twice and no reply is false, for thousands of orders handled by several daemons under
// injected faults. The simulated backend server counts the actual runs.
#include "simulated_fleet.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <iostream>
#include <ostream>

using namespace radishflow;
namespace data = boost::unit_test::data;

namespace {

struct schedule_case {
    const char* name;
    simulated_fleet_options options;
};

std::ostream& operator<<(std::ostream& out, const schedule_case& sample)
{
    return out << sample.name << ", seed " << sample.options.seed;
}

} // namespace

static std::vector<schedule_case> scheduleCases()
{
    std::vector<schedule_case> cases;
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        cases.push_back({ .name = "one write before dispatch", .options = { .seed = seed } });
        cases.push_back({ .name = "two writes before dispatch", .options = { .seed = seed, .recordsDispatch = true } });
        cases.push_back({ .name = "reservations", .options = { .seed = seed, .usesReservations = true } });
    }
    cases.push_back({ .name = "one write, no faults", .options = { .hasFaults = false } });
    cases.push_back({ .name = "two writes, no faults", .options = { .recordsDispatch = true, .hasFaults = false } });
    cases.push_back({ .name = "reservations, no faults", .options = { .usesReservations = true, .hasFaults = false } });
    return cases;
}

BOOST_DATA_TEST_CASE(noOrderRunsTwiceAndNoReplyIsFalse, data::make(scheduleCases()), sample)
{
    const fleet_tally tally = simulated_fleet(sample.options).run();
    std::cout << sample << ": orders " << sample.options.orders << ", restarts " << tally.restarts << ", ran twice " << tally.ranTwice << ", reported not run but ran "
              << tally.falseNotRun << ", reported done but not run " << tally.falseDone << ", done " << tally.done << ", not run "
              << tally.notRun << ", unknown " << tally.unknown << ", unknown to a final call " << tally.unknownAtEnd << ", writes " << tally.commits << '\n';
    BOOST_TEST(tally.ranTwice == 0);
    BOOST_TEST(tally.falseNotRun == 0);
    BOOST_TEST(tally.falseDone == 0);
    BOOST_TEST(tally.pending == 0);
    BOOST_TEST(tally.done + tally.notRun + tally.unknown == sample.options.orders);
    if (!sample.options.hasFaults)
        BOOST_TEST(tally.done == sample.options.orders);
}
