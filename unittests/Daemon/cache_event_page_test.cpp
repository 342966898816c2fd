// Tests the parser of an engine's cache events.
#include "radishflow/Daemon/cache_event_page.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>

using namespace radishflow;

BOOST_AUTO_TEST_CASE(validPageIsParsed)
{
    const auto page = parseCacheEvents(R"({"events":[{"seq":7,"type":"stored","prefix":"00000000000000ab"},
        {"seq":8,"type":"removed","prefix":"00000000000000ab"},{"seq":9,"type":"cleared","prefix":""},
        {"seq":10,"type":"stored","prefix":"of another sender"}],"next":11})");
    BOOST_REQUIRE(page);
    BOOST_TEST(page->next == 11);
    BOOST_REQUIRE(page->events.size() == 4);
    BOOST_TEST(page->events[0].sequence == 7);
    BOOST_TEST(page->events[0].prefix == 0xab);
    BOOST_TEST((page->events[0].kind == cache_event_kind::Stored));
    BOOST_TEST((page->events[1].kind == cache_event_kind::Removed));
    BOOST_TEST((page->events[2].kind == cache_event_kind::Cleared));
    // The event keeps its sequence number, so that no gap appears, and stores nothing.
    BOOST_TEST(page->events[3].sequence == 10);
    BOOST_TEST((page->events[3].kind == cache_event_kind::Removed));
}

static const char* const broken[] = { "", "[]", "{}", R"({"events":[{"type":"stored"}],"next":1})", R"({"events":[1],"next":1})", R"({"events":[)" };

BOOST_DATA_TEST_CASE(malformedPageIsRejected, boost::unit_test::data::make(broken), text)
{
    BOOST_TEST(!parseCacheEvents(text));
}
