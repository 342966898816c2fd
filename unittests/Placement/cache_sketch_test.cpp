// Tests that the sketch reflects cache events, and that lost events or overflow never yield a wrong Held or NotHeld.
#include "radishflow/Placement/cache_sketch.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <random>
#include <set>

using namespace radishflow;
namespace data = boost::unit_test::data;

namespace radishflow {

static std::ostream& operator<<(std::ostream& out, prefix_state state)
{
    return out << static_cast<int>(state);
}

} // namespace radishflow

namespace {

struct sketch_case {
    const char* name;
    std::vector<cache_event> events;
    prefix_state first; ///< Expected state of prefix 1.
    prefix_state second; ///< Expected state of prefix 2, which no event stores.
};

std::ostream& operator<<(std::ostream& out, const sketch_case& example)
{
    return out << example.name;
}

using enum cache_event_kind;
using enum prefix_state;

const std::vector<sketch_case> sketchCases {
    { "nothing", {}, NotHeld, NotHeld },
    { "stored", { { 1, Stored, 1 } }, Held, NotHeld },
    { "removed", { { 1, Stored, 1 }, { 2, Removed, 1 } }, NotHeld, NotHeld },
    { "stored again", { { 1, Stored, 1 }, { 2, Removed, 1 }, { 3, Stored, 1 } }, Held, NotHeld },
    { "cleared", { { 1, Stored, 1 }, { 2, Cleared, 0 } }, NotHeld, NotHeld },
    { "gap", { { 1, Stored, 1 }, { 3, Stored, 9 } }, Likely, Unknown },
    { "stored after the gap", { { 1, Stored, 9 }, { 3, Stored, 1 } }, Held, Unknown },
    { "confirmed after the gap", { { 1, Stored, 1 }, { 3, Stored, 1 } }, Held, Unknown },
    { "removed after the gap", { { 1, Stored, 1 }, { 3, Removed, 1 } }, Unknown, Unknown },
    { "cleared after the gap", { { 1, Stored, 1 }, { 3, Cleared, 0 } }, NotHeld, NotHeld },
    { "late start", { { 7, Stored, 1 } }, Held, Unknown },
    { "old event repeated", { { 1, Stored, 1 }, { 2, Removed, 1 }, { 1, Stored, 1 } }, NotHeld, NotHeld },
};

} // namespace

BOOST_DATA_TEST_CASE(stateReflectsEvents, data::make(sketchCases), example)
{
    cache_sketch sketch { { .prefixes = 100 } };
    for (const cache_event& event : example.events)
        sketch.apply(event);
    BOOST_TEST(sketch.stateOf(1) == example.first);
    BOOST_TEST(sketch.stateOf(2) == example.second);
}

BOOST_AUTO_TEST_CASE(restartResetsTheSequence)
{
    cache_sketch sketch { { .prefixes = 100 } };
    sketch.apply({ 50, Stored, 1 });
    sketch.restart();
    BOOST_TEST(sketch.stateOf(1) == NotHeld);
    sketch.apply({ 0, Stored, 2 });
    BOOST_TEST(sketch.stateOf(2) == Held);
}

// Whichever events are lost, Held and NotHeld agree with the engine's cache as of the last event received.
BOOST_DATA_TEST_CASE(certainStatesMatchTheCache, data::make({ 0, 1, 10, 50 }) * data::make({ 20, 400 }), lostPercent, capacity)
{
    std::mt19937_64 random { 7 };
    cache_sketch sketch { { .prefixes = static_cast<std::size_t>(capacity) } };
    std::set<std::uint64_t> cache;
    for (std::uint64_t sequence = 1; sequence < 5000; ++sequence) {
        const std::uint64_t prefix = random() % 300;
        const cache_event_kind kind = random() % 1000 == 0 ? Cleared : (cache.contains(prefix) ? Removed : Stored);
        if (kind == Cleared)
            cache.clear();
        if (kind == Stored)
            cache.insert(prefix);
        if (kind == Removed)
            cache.erase(prefix);
        if (static_cast<int>(random() % 100) < lostPercent)
            continue;
        sketch.apply({ sequence, kind, prefix });
        const std::uint64_t asked = random() % 300;
        const prefix_state state = sketch.stateOf(asked);
        const prefix_state actual = cache.contains(asked) ? Held : NotHeld;
        BOOST_TEST((state == Unknown || state == Likely || state == actual));
    }
}

BOOST_AUTO_TEST_CASE(mostRecentlyStoredComesFirst)
{
    cache_sketch sketch { { .prefixes = 1 } };
    for (std::uint64_t i = 1; i <= 5; ++i)
        sketch.apply({ i, Stored, i });
    sketch.apply({ 6, Stored, 2 });
    const std::vector<std::uint64_t> expected { 2, 5, 4, 3, 1 };
    BOOST_TEST(sketch.prefixes() == expected, boost::test_tools::per_element());
}
