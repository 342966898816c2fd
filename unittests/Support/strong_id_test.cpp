// Tests that identifiers of different kinds stay apart and numbers keep their order.
#include "radishflow/Support/ids.h"

#include <boost/test/unit_test.hpp>

#include <type_traits>

using namespace radishflow;

BOOST_AUTO_TEST_CASE(idsOfDifferentKindsDoNotConvert)
{
    static_assert(!std::is_convertible_v<daemon_id, host_id>);
    static_assert(!std::is_convertible_v<term_number, config_version>);
    BOOST_TEST((daemon_id { "a" } < daemon_id { "b" }));
}

BOOST_AUTO_TEST_CASE(nextNumberIsGreater)
{
    BOOST_TEST((term_number { 4 }.next() > term_number { 4 }));
    BOOST_TEST(term_number {}.value() == 0U);
}
