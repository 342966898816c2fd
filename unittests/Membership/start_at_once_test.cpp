// Plays the start of a whole fleet at once, as after a loss of power: how long it takes until every daemon knows all the others
// and their records, without which callers cannot be directed to them.
#include "virtual_fleet.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace radishflow;
using namespace std::chrono_literals;

namespace {

struct start_case {
    std::size_t daemons;
    bool isRestart; ///< All daemons ran before and were killed at once.

    friend std::ostream& operator<<(std::ostream& out, const start_case& value) { return out << value.daemons << (value.isRestart ? " daemons again" : " daemons"); }
};

const start_case startCases[] = {
    { 7, false },
    { 60, false },
    { 195, false },
    { 195, true },
    { 300, false },
};

constexpr duration maxStartTime = 5s;
constexpr std::size_t bytesPerDaemonAndSecond = 100'000; // A twentieth of a link of 20 Mbit/s, the slowest of the platform's.

bool knowsAllRecords(virtual_fleet& fleet, std::size_t viewer)
{
    std::size_t known = 0;
    for (const member& seen : fleet.table(viewer).members())
        known += seen.state == member_state::Alive && seen.records.contains("callers") ? 1 : 0;
    return known == fleet.size();
}

bool allKnowAllRecords(virtual_fleet& fleet)
{
    for (std::size_t viewer = 0; viewer < fleet.size(); ++viewer) {
        if (!knowsAllRecords(fleet, viewer))
            return false;
    }
    return true;
}

void startAll(virtual_fleet& fleet)
{
    for (std::size_t daemon = 0; daemon < fleet.size(); ++daemon) {
        fleet.start(daemon);
        fleet.table(daemon).publish("callers", "yes");
    }
}

} // namespace

BOOST_DATA_TEST_CASE(daemonsThatStartAtOnceKnowEachOtherWithinBound, boost::unit_test::data::make(startCases), test)
{
    virtual_fleet fleet({ .daemons = test.daemons });
    startAll(fleet);
    if (test.isRestart) {
        fleet.run(20s);
        for (std::size_t daemon = 0; daemon < fleet.size(); ++daemon)
            fleet.kill(daemon);
        fleet.run(1s);
        startAll(fleet);
    }
    std::size_t sentBytes = 0;
    fleet.onSend = [&](std::size_t, std::size_t, const gossip_message& message) {
        sentBytes += messageHeaderBound;
        for (const member_update& update : message.members)
            sentBytes += encodedBound(update);
        for (const record_update& update : message.records)
            sentBytes += encodedBound(update);
    };
    const duration taken = fleet.runUntil([&] { return allKnowAllRecords(fleet); }, 90s);
    const std::size_t perSecond = sentBytes / fleet.size() * 1000 / static_cast<std::size_t>(std::max<std::int64_t>(taken / 1ms, 1000));
    BOOST_TEST_MESSAGE(test << ": " << taken / 1ms << " ms, " << perSecond << " bytes a daemon and second");
    BOOST_TEST((taken <= maxStartTime));
    BOOST_TEST(perSecond <= bytesPerDaemonAndSecond);
}
