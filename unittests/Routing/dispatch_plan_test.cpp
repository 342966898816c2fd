// Tests which daemons dispatch the requests of a service with few slots, and how they divide its slots.
#include "radishflow/Routing/dispatch_plan.h"

#include "test_servers.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <map>
#include <ostream>
#include <string>

using namespace radishflow;

namespace {

struct plan_case {
    int daemons;
    int servers;
    int slots; ///< Of each server.
    std::size_t dispatchers;

    friend std::ostream& operator<<(std::ostream& out, const plan_case& test) { return out << test.daemons << " daemons, " << test.servers << " servers of " << test.slots << " slots"; }
};

const plan_case plans[] {
    { 131, 3, 6, 3 },
    { 61, 3, 6, 3 },
    { 350, 30, 6, 4 },
    { 61, 1, 6, 1 },
    { 61, 1, 1, 1 },
    { 18, 3, 6, 0 }, // As many slots as daemons.
    { 7, 3, 6, 0 },
    { 131, 140, 32, 0 },
    { 61, 0, 6, 0 },
};

fleet_view fleetOf(int daemons, int self)
{
    fleet_view fleet = testFleet(daemons, self);
    for (fleet_daemon& daemon : fleet.daemons)
        daemon.acceptsCallers = true;
    return fleet;
}

server_list listOf(int servers, int slots)
{
    server_list list = testServers(servers);
    for (auto& [id, server] : list.servers)
        server.slots = slots;
    return list;
}

} // namespace

BOOST_DATA_TEST_CASE(dispatchersDivideTheSlotsExactly, boost::unit_test::data::make(plans), test)
{
    const server_list list = listOf(test.servers, test.slots);
    std::map<server_id, std::size_t> given;
    std::size_t dispatching = 0;
    for (int self = 0; self < test.daemons; ++self) {
        const dispatch_plan plan = planDispatch(fleetOf(test.daemons, self), list, service_id { "model" });
        BOOST_TEST(plan.dispatchers.size() == test.dispatchers);
        dispatching += plan.dispatchesItself() ? 1 : 0;
        for (const auto& [server, slots] : plan.ownSlots)
            given[server] += slots;
    }
    BOOST_TEST(dispatching == test.dispatchers);
    for (const auto& [server, slots] : given)
        BOOST_TEST(slots == static_cast<std::size_t>(test.slots));
}

BOOST_AUTO_TEST_CASE(onlyLargeHostsThatServeCallersDispatch)
{
    fleet_view fleet = fleetOf(100, 0);
    for (std::size_t number = 0; number < fleet.daemons.size(); ++number)
        fleet.daemons[number].processorShare = number % 10 == 0 ? 0.5 : 0.1;
    fleet.daemons[10].acceptsCallers = false;
    fleet.daemons[20].reachesServers = false;
    const server_list list = listOf(3, 6);
    std::size_t found = 0;
    while (planDispatch(fleet, list, service_id { "model" }).isDispatched() && found < 8) {
        for (const fleet_daemon& daemon : planDispatch(fleet, list, service_id { "model" }).dispatchers) {
            BOOST_TEST(daemon.processorShare == 0.5);
            BOOST_TEST(daemon.id.value() != "d10");
            BOOST_TEST(daemon.id.value() != "d20");
            std::erase_if(fleet.daemons, [&](const fleet_daemon& other) { return other.id == daemon.id; });
            ++found;
        }
    }
    BOOST_TEST(found >= 8U);
}

// A dispatcher that ends is replaced; the others keep their slots.
BOOST_AUTO_TEST_CASE(lostDispatcherIsReplacedByOneOther)
{
    fleet_view fleet = fleetOf(60, 0);
    const server_list list = listOf(3, 6);
    const auto before = planDispatch(fleet, list, service_id { "model" }).dispatchers;
    BOOST_REQUIRE(before.size() == 3U);
    std::erase_if(fleet.daemons, [&](const fleet_daemon& daemon) { return daemon.id == before.back().id; });
    const auto after = planDispatch(fleet, list, service_id { "model" }).dispatchers;
    BOOST_REQUIRE(after.size() == 3U);
    BOOST_TEST((after[0].id == before[0].id && after[1].id == before[1].id));
}
