// Tests which daemons keep the origin of a stream, and that the others learn it from them.
#include "radishflow/Fleet/stream_holders.h"
#include "radishflow/Fleet/stream_origin_exchange.h"

#include "process_port.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <set>
#include <string>

using namespace radishflow;
using namespace std::chrono_literals;

namespace {

fleet_view fleetOf(int daemons, int zones, int self)
{
    fleet_view view { .self = daemon_id { "d" + std::to_string(self) } };
    for (int number = 0; number < daemons; ++number)
        view.daemons.push_back({ .id = daemon_id { "d" + std::to_string(number) }, .zone = zone_id { "z" + std::to_string(number % zones) }, .callerAddress = "127.0.1." + std::to_string(1 + number) + ":1" });
    return view;
}

std::set<std::string> idsOf(const std::vector<const fleet_daemon*>& daemons)
{
    std::set<std::string> ids;
    for (const fleet_daemon* daemon : daemons)
        ids.insert(daemon->id.value());
    return ids;
}

struct fleet_case {
    int daemons;
    int zones;
    std::size_t minHolders;
    std::size_t maxHolders;
};

std::ostream& operator<<(std::ostream& out, const fleet_case& testCase) { return out << testCase.daemons << " daemons in " << testCase.zones << " zones"; }

const fleet_case fleets[] { { 1, 1, 0, 0 }, { 7, 4, 6, 6 }, { 20, 1, 4, 5 }, { 195, 6, 5, 6 }, { 350, 6, 5, 6 }, { 350, 2, 5, 6 } };

} // namespace

BOOST_DATA_TEST_CASE(everyZoneHasAFewHoldersOfEachStream, boost::unit_test::data::make(fleets), testCase)
{
    for (std::uint64_t stream = 1; stream <= 50; ++stream) {
        const fleet_view fleet = fleetOf(testCase.daemons, testCase.zones, 0);
        const auto holders = streamHolders(fleet, stream_key { stream }, 1);
        BOOST_TEST(holders.size() >= testCase.minHolders);
        BOOST_TEST(holders.size() <= testCase.maxHolders);
        const auto asked = idsOf(streamHolders(fleet, stream_key { stream }, 2));
        const auto kept = idsOf(holders);
        BOOST_TEST(std::includes(asked.begin(), asked.end(), kept.begin(), kept.end()));
        std::set<zone_id> zones;
        for (const fleet_daemon* holder : holders)
            zones.insert(holder->zone);
        if (testCase.daemons > 2 * testCase.zones)
            BOOST_TEST(zones.size() + 1 >= static_cast<std::size_t>(testCase.zones)); // The daemon itself may be the holder of its zone.
    }
}

BOOST_AUTO_TEST_CASE(originIsFoundByDaemonsThatMissedIt)
{
    const std::string port = ':' + std::to_string(processPort());
    stream_origin_exchange first { "127.0.1.1" + port };
    stream_origin_exchange second { "127.0.1.2" + port };
    const auto both = [](int self) { return std::make_shared<const fleet_view>(fleetOf(2, 1, self)); };
    const fleet_view alone = fleetOf(1, 1, 0);
    first.publish({ .stream = stream_key { 5 }, .version = version_key { 7 } }, alone);
    BOOST_TEST((second.find(stream_key { 5 }, [&] { return both(1); }) == version_key { 7 }));
    // The answer is kept for the time after the other daemon has failed.
    BOOST_TEST((second.find(stream_key { 5 }, [&] { return std::make_shared<const fleet_view>(fleetOf(1, 1, 0)); }) == version_key { 7 }));
    const auto began = std::chrono::steady_clock::now();
    BOOST_TEST(!second.find(stream_key { 6 }, [&] { return both(1); }).has_value());
    BOOST_TEST((std::chrono::steady_clock::now() - began < 1500ms));
}
