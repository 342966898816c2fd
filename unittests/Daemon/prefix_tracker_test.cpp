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

BOOST_AUTO_TEST_CASE(eventsAreFollowedAndReadOn)
{
    prefix_tracker watch;
    BOOST_TEST((watch.stateOf(engine, chat, start) == prefix_state::Unknown));
    BOOST_TEST(watch.nextEvent(engine) == 0);
    watch.apply(engine, stored, 2);
    BOOST_TEST((watch.stateOf(engine, chat, start) == prefix_state::Held));
    BOOST_TEST(watch.nextEvent(engine) == 2);
}

BOOST_AUTO_TEST_CASE(anotherProcessHoldsNothingAndIsReadFromItsFirstEvent)
{
    prefix_tracker watch;
    watch.recordProcessStart(engine, 100);
    watch.apply(engine, stored, 2);
    watch.recordServed(engine, chat + 1, start);
    watch.recordProcessStart(engine, 100);
    BOOST_TEST(isProbablyHeld(watch.stateOf(engine, chat, start)));
    watch.recordProcessStart(engine, 200);
    BOOST_TEST(!isProbablyHeld(watch.stateOf(engine, chat, start)));
    BOOST_TEST(!isProbablyHeld(watch.stateOf(engine, chat + 1, start)));
    BOOST_TEST(watch.nextEvent(engine) == 0);
    watch.apply(engine, stored, 2);
    BOOST_TEST(isProbablyHeld(watch.stateOf(engine, chat, start)));
}

BOOST_AUTO_TEST_CASE(servedPrefixIsLikelyUntilItsEventMustHaveCome)
{
    prefix_tracker watch { { .eventLag = seconds { 4 } } };
    watch.recordServed(engine, chat, start);
    BOOST_TEST((watch.stateOf(engine, chat, start + seconds { 4 }) == prefix_state::Likely));
    BOOST_TEST(!isProbablyHeld(watch.stateOf(engine, chat, start + seconds { 5 })));
}

BOOST_AUTO_TEST_CASE(servedPrefixesAreBounded)
{
    prefix_tracker watch { { .eventLag = seconds { 4 }, .maxServed = 2 } };
    for (std::uint64_t prefix = 1; prefix <= 3; ++prefix)
        watch.recordServed(engine, prefix, start);
    BOOST_TEST(!isProbablyHeld(watch.stateOf(engine, 3, start)));
    watch.recordServed(engine, 3, start + seconds { 5 });
    BOOST_TEST(isProbablyHeld(watch.stateOf(engine, 3, start + seconds { 5 })));
}

BOOST_AUTO_TEST_CASE(engineOfAnotherOwnerIsForgotten)
{
    prefix_tracker watch;
    watch.apply(engine, stored, 2);
    const std::array others { server_id { "127.0.0.1:7002" } };
    watch.keepOnly(others);
    BOOST_TEST(watch.engines() == 0);
    BOOST_TEST((watch.stateOf(engine, chat, start) == prefix_state::Unknown));
    BOOST_TEST(watch.nextEvent(engine) == 0);
}
