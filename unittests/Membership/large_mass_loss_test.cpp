// Tests in virtual time, at the sizes of large deployments, which daemons are listed after many are lost at the same moment.
#include "mass_loss.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>

using namespace radishflow;
using namespace std::chrono_literals;

static const mass_loss massLosses[] {
    { "20 of 195", 195, 20, loss_kind::Killed, largeFleetNotice },
    { "100 of 195", 195, 100, loss_kind::Killed, largeFleetNotice },
    { "165 of 195", 195, 165, loss_kind::Killed, largeFleetNotice },
    { "35 of 350", 350, 35, loss_kind::Killed, largeFleetNotice },
    { "250 of 350", 350, 250, loss_kind::Killed, largeFleetNotice },
};

// Guards against directories that name lost daemons the longer, the more of them are lost for each one that is left (DRAIN).
BOOST_DATA_TEST_CASE(lostDaemonsLeaveListsOfLargeFleets, boost::unit_test::data::make(massLosses), testCase)
{
    // Fleets of some hundred daemons that start at once need up to a minute until all know each other.
    const duration startTime = testCase.daemons > 200 ? 60s : 20s;
    virtual_fleet fleet({ .daemons = testCase.daemons });
    fleet.run(startTime);
    checkLostOnesLeaveLists(fleet, testCase);
}
