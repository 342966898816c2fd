// Tests which origins of streams are recorded, and by which daemons.
#include "radishflow/Fleet/stream_holders.h"
#include "radishflow/Fleet/stream_origin_recorder.h"
#include "radishflow/Support/manual_clock.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <map>
#include <set>
#include <string>

using namespace radishflow;
using namespace std::chrono_literals;

static bool isAnyNeeded(const version_key&)
{
    return true;
}

BOOST_AUTO_TEST_CASE(originIsTakenOnceItIsNeeded)
{
    stream_origin_log log { { .lifetime = 30s, .maxOrigins = 3 } };
    const time_point start { 100s };
    for (std::uint64_t stream = 1; stream <= 4; ++stream)
        log.add({ .stream = stream_key { stream }, .version = version_key { stream } }, start);
    BOOST_TEST(log.take([](const version_key&) { return false; }, 10, start + 1s).empty());
    const auto first = log.take([](const version_key& version) { return version == version_key { 2 }; }, 10, start + 2s);
    BOOST_REQUIRE(first.size() == 1U);
    BOOST_TEST((first.front().stream == stream_key { 2 }));
    BOOST_TEST(log.take(isAnyNeeded, 1, start + 2s).size() == 1U);
    BOOST_TEST(log.take(isAnyNeeded, 10, start + 2s).size() == 1U);
    BOOST_TEST(log.take(isAnyNeeded, 10, start + 2s).empty());
    log.putBack(first);
    BOOST_TEST(log.take(isAnyNeeded, 10, start + 3s).size() == 1U);
    log.putBack(first);
    BOOST_TEST(log.take(isAnyNeeded, 10, start + 31s).empty());
}

namespace {

fleet_view fleetOf(int daemons, int zones, int self)
{
    fleet_view view { .self = daemon_id { "d" + std::to_string(self) } };
    for (int number = 0; number < daemons; ++number)
        view.daemons.push_back({ .id = daemon_id { "d" + std::to_string(number) }, .zone = zone_id { "z" + std::to_string(number % zones) }, .callerAddress = std::to_string(number) + ":1" });
    return view;
}

struct recorder_case {
    int daemons;
    int zones;
    std::size_t recorders;
    std::size_t recorderZones;

    friend std::ostream& operator<<(std::ostream& out, const recorder_case& testCase) { return out << testCase.daemons << " daemons in " << testCase.zones << " zones"; }
};

const recorder_case recorderCases[] { { 1, 1, 1, 1 }, { 3, 1, 2, 1 }, { 7, 4, 2, 2 }, { 20, 3, 2, 2 }, { 195, 6, 2, 2 }, { 350, 6, 2, 2 } };

} // namespace

// Guards against origins that are lost with a zone before they are written, and against writes that grow with the fleet.
BOOST_DATA_TEST_CASE(twoDaemonsOfDifferentZonesRecordTheOriginsOfAFleet, boost::unit_test::data::make(recorderCases), testCase)
{
    const fleet_view fleet = fleetOf(testCase.daemons, testCase.zones, 0);
    std::set<zone_id> zones;
    for (const fleet_daemon* recorder : streamRecorders(fleet))
        zones.insert(recorder->zone);
    BOOST_TEST(streamRecorders(fleet).size() == testCase.recorders);
    BOOST_TEST(zones.size() == testCase.recorderZones);

    // Each daemon sends its origin to the recorders, whose writes fail at first.
    std::map<std::string, std::vector<stream_origin>> sent;
    std::map<std::size_t, std::set<stream_key>> written;
    bool doesStoreRespond = false;
    const time_point now { 100s };
    for (int self = 0; self < testCase.daemons; ++self) {
        stream_origin_recorder sender { { .isNeeded = isAnyNeeded, .send = [&](const std::vector<stream_origin>& origins, const std::string& host) { sent[host].insert(sent[host].end(), origins.begin(), origins.end()); }, .write = [](const std::vector<stream_origin>&, std::size_t) { return true; }, .maxOriginsPerWrite = 1000 } };
        sender.addOwn({ .stream = stream_key { static_cast<std::uint64_t>(self) + 1 }, .version = version_key { 1 } }, now);
        sender.sendOwn(fleetOf(testCase.daemons, testCase.zones, self), now);
    }
    for (int self = 0; self < testCase.daemons; ++self) {
        const fleet_view own = fleetOf(testCase.daemons, testCase.zones, self);
        stream_origin_recorder receiver { { .isNeeded = isAnyNeeded, .send = [](const std::vector<stream_origin>&, const std::string&) {}, .write = [&](const std::vector<stream_origin>& origins, std::size_t number) {
            for (const stream_origin& origin : origins) {
                if (doesStoreRespond)
                    written[number].insert(origin.stream);
            }
            return doesStoreRespond; }, .maxOriginsPerWrite = 1000 } };
        receiver.sendOwn(own, now);
        for (const stream_origin& origin : sent[std::to_string(self)])
            receiver.receive(origin, now);
        doesStoreRespond = false;
        receiver.record(own, now);
        doesStoreRespond = true;
        receiver.record(own, now + 1s);
    }
    // A recorder keeps its own origins without sending them, and here its own one was sent by another object.
    BOOST_TEST(written.size() == (testCase.daemons == 1 ? 0U : testCase.recorders));
    for (const auto& [number, streams] : written)
        BOOST_TEST(streams.size() == static_cast<std::size_t>(testCase.daemons) - 1);
}
