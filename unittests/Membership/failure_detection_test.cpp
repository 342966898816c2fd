// Tests in virtual time that all daemons detect a dead daemon within a bounded time, and declare no other dead.
#include "virtual_fleet.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace radishflow;
using namespace std::chrono_literals;

namespace {
// Parameters of one run. `bound` is the maximum time until all daemons see the killed daemon as dead.
struct detection_case {
    std::size_t daemons;
    std::size_t regions;
    std::uint64_t randomSeed;
    duration bound;

    friend std::ostream& operator<<(std::ostream& out, const detection_case& value)
    {
        return out << value.daemons << " daemons, " << value.regions << " regions, seed " << value.randomSeed;
    }
};

const detection_case detectionCases[] = {
    { 7, 1, 1, 5s },
    { 7, 1, 2, 5s },
    { 7, 1, 3, 5s },
    { 50, 1, 1, 8s },
    { 100, 3, 1, 8s },
};
} // namespace

BOOST_DATA_TEST_CASE(killedDaemonIsDetectedByAllWithinBound, boost::unit_test::data::make(detectionCases), test)
{
    virtual_fleet fleet({ .daemons = test.daemons, .regions = test.regions, .randomSeed = test.randomSeed });
    BOOST_TEST((fleet.runUntil([&] { return fleet.hasConverged(); }, 60s) < 60s));
    fleet.run(5s);
    fleet.kill(4);
    const duration taken = fleet.runUntil([&] { return fleet.allSee(4, member_state::Dead); }, 60s);
    BOOST_TEST_MESSAGE(test << ": dead after " << taken / 1ms << " ms");
    BOOST_TEST((taken <= test.bound));
    BOOST_TEST(fleet.countOf(0, member_state::Dead) == 1);
}
