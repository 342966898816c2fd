// Tests how long API keys are accepted without confirmation from the platform.
#include "radishflow/Routing/key_freshness.h"

#include <boost/test/unit_test.hpp>

using namespace radishflow;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_CASE(keysAreAcceptedWithinTheBoundAfterTheLastConfirmation)
{
    constexpr time_point start { 1h };
    key_freshness freshness { 5s };
    BOOST_TEST(!freshness.isFresh(start));
    freshness.confirm(start);
    BOOST_TEST(freshness.isFresh(start + 4999ms));
    BOOST_TEST(!freshness.isFresh(start + 5s));
    freshness.confirm(start + 3s);
    freshness.confirm(start + 1s); // A delayed older confirmation has no effect.
    BOOST_TEST(freshness.isFresh(start + 7999ms));
    BOOST_TEST(!freshness.isFresh(start + 8s));
}
