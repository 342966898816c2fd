// Tests that reservations of bodies count each byte once and return it.
#include "radishflow/Relay/body_memory.h"

#include <boost/test/unit_test.hpp>

#include <utility>

using namespace radishflow;

BOOST_AUTO_TEST_CASE(reservationsGrowWithinTheLimitAndReturnTheirShare)
{
    constexpr std::size_t limit = 100;
    body_memory memory { limit };
    body_reservation kept { memory };
    {
        body_reservation first { memory };
        BOOST_TEST(first.tryGrow(60));
        BOOST_TEST(first.tryGrow(40)); // Smaller than what it has.
        BOOST_TEST(first.tryGrow(80));
        BOOST_TEST(memory.bytes() == 80U);
        BOOST_TEST(!kept.tryGrow(21));
        BOOST_TEST(kept.tryGrow(20));
        body_reservation moved { std::move(first) };
        BOOST_TEST(!moved.tryGrow(limit + 1));
        BOOST_TEST(memory.bytes() == limit);
    }
    BOOST_TEST(memory.bytes() == 20U);
    kept = body_reservation {};
    BOOST_TEST(memory.bytes() == 0U);
    BOOST_TEST(kept.tryGrow(10 * limit)); // Without a memory there is no limit.
}
