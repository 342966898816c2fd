// Tests the tracking of prefixes in the caches of owned engines.
#include "radishflow/Daemon/prefix_tracker.h"

#include <boost/test/unit_test.hpp>

#include <array>

using namespace radishflow;
using std::chrono::seconds;

static const server_id engine { "127.0.0.1:7001" };
static constexpr time_point start {};
static constexpr std::uint64_t chat = 0xab;

static const std::array stored { cache_event { .sequence = 1, .kind = cache_event_kind::Stored, .prefix = chat } };

BOOST_AUTO_TEST_CASE(eventsSetPrefixStateAndNextSequence)
{
    prefix_tracker tracker;
    BOOST_TEST((tracker.stateOf(engine, chat, start) == prefix_state::Unknown));
    BOOST_TEST(tracker.nextEvent(engine) == 0);
    tracker.apply(engine, stored, 2);
    BOOST_TEST((tracker.stateOf(engine, chat, start) == prefix_state::Held));
    BOOST_TEST(tracker.nextEvent(engine) == 2);
}

BOOST_AUTO_TEST_CASE(newProcessHasEmptyCacheAndIsReadFromFirstEvent)
{
    prefix_tracker tracker;
    tracker.recordProcessStart(engine, 100);
    tracker.apply(engine, stored, 2);
    tracker.recordServed(engine, chat + 1, start);
    tracker.recordProcessStart(engine, 100);
    BOOST_TEST(isProbablyHeld(tracker.stateOf(engine, chat, start)));
    tracker.recordProcessStart(engine, 200);
    BOOST_TEST(!isProbablyHeld(tracker.stateOf(engine, chat, start)));
    BOOST_TEST(!isProbablyHeld(tracker.stateOf(engine, chat + 1, start)));
    BOOST_TEST(tracker.nextEvent(engine) == 0);
    tracker.apply(engine, stored, 2);
    BOOST_TEST(isProbablyHeld(tracker.stateOf(engine, chat, start)));
}

BOOST_AUTO_TEST_CASE(servedPrefixIsLikelyUntilEventLagExpires)
{
    prefix_tracker tracker { { .eventLag = seconds { 4 } } };
    tracker.recordServed(engine, chat, start);
    BOOST_TEST((tracker.stateOf(engine, chat, start + seconds { 4 }) == prefix_state::Likely));
    BOOST_TEST(!isProbablyHeld(tracker.stateOf(engine, chat, start + seconds { 5 })));
}

BOOST_AUTO_TEST_CASE(servedPrefixesAreBounded)
{
    prefix_tracker tracker { { .eventLag = seconds { 4 }, .maxServed = 2 } };
    for (std::uint64_t prefix = 1; prefix <= 3; ++prefix)
        tracker.recordServed(engine, prefix, start);
    BOOST_TEST(!isProbablyHeld(tracker.stateOf(engine, 3, start)));
    tracker.recordServed(engine, 3, start + seconds { 5 });
    BOOST_TEST(isProbablyHeld(tracker.stateOf(engine, 3, start + seconds { 5 })));
}

BOOST_AUTO_TEST_CASE(engineOfAnotherOwnerIsRemoved)
{
    prefix_tracker tracker;
    tracker.apply(engine, stored, 2);
    const std::array others { server_id { "127.0.0.1:7002" } };
    tracker.retainOnly(others);
    BOOST_TEST(tracker.engines() == 0);
    BOOST_TEST((tracker.stateOf(engine, chat, start) == prefix_state::Unknown));
    BOOST_TEST(tracker.nextEvent(engine) == 0);
}
