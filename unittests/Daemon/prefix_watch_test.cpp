// Tests what an owner knows of its engines' caches.
#include "radishflow/Daemon/prefix_watch.h"

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
    prefix_watch watch;
    BOOST_TEST((watch.stateOf(engine, chat, start) == prefix_state::Unknown));
    BOOST_TEST(watch.nextEvent(engine) == 0);
    watch.apply(engine, stored, 2);
    BOOST_TEST((watch.stateOf(engine, chat, start) == prefix_state::Held));
    BOOST_TEST(watch.nextEvent(engine) == 2);
}

BOOST_AUTO_TEST_CASE(anotherProcessHoldsNothingAndIsReadFromItsFirstEvent)
{
    prefix_watch watch;
    watch.noteStart(engine, 100);
    watch.apply(engine, stored, 2);
    watch.noteServed(engine, chat + 1, start);
    watch.noteStart(engine, 100);
    BOOST_TEST(isProbablyHeld(watch.stateOf(engine, chat, start)));
    watch.noteStart(engine, 200);
    BOOST_TEST(!isProbablyHeld(watch.stateOf(engine, chat, start)));
    BOOST_TEST(!isProbablyHeld(watch.stateOf(engine, chat + 1, start)));
    BOOST_TEST(watch.nextEvent(engine) == 0);
    watch.apply(engine, stored, 2);
    BOOST_TEST(isProbablyHeld(watch.stateOf(engine, chat, start)));
}

BOOST_AUTO_TEST_CASE(servedPrefixIsLikelyUntilItsEventMustHaveCome)
{
    prefix_watch watch { { .eventLag = seconds { 4 } } };
    watch.noteServed(engine, chat, start);
    BOOST_TEST((watch.stateOf(engine, chat, start + seconds { 4 }) == prefix_state::Likely));
    BOOST_TEST(!isProbablyHeld(watch.stateOf(engine, chat, start + seconds { 5 })));
}

BOOST_AUTO_TEST_CASE(servedPrefixesAreBounded)
{
    prefix_watch watch { { .eventLag = seconds { 4 }, .mostServed = 2 } };
    for (std::uint64_t prefix = 1; prefix <= 3; ++prefix)
        watch.noteServed(engine, prefix, start);
    BOOST_TEST(!isProbablyHeld(watch.stateOf(engine, 3, start)));
    watch.noteServed(engine, 3, start + seconds { 5 });
    BOOST_TEST(isProbablyHeld(watch.stateOf(engine, 3, start + seconds { 5 })));
}

BOOST_AUTO_TEST_CASE(engineOfAnotherOwnerIsForgotten)
{
    prefix_watch watch;
    watch.apply(engine, stored, 2);
    const std::array others { server_id { "127.0.0.1:7002" } };
    watch.keepOnly(others);
    BOOST_TEST(watch.engines() == 0);
    BOOST_TEST((watch.stateOf(engine, chat, start) == prefix_state::Unknown));
    BOOST_TEST(watch.nextEvent(engine) == 0);
}
