// Tests that hashes are the same on every host and that parts are kept apart.
#include "radishflow/Support/hashing.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace radishflow;

BOOST_AUTO_TEST_CASE(partsAreNotConcatenated)
{
    BOOST_TEST(stableHash("ab", "c") != stableHash("a", "bc"));
}

BOOST_DATA_TEST_CASE(unitIntervalIsOpen, boost::unit_test::data::make({ std::uint64_t { 0 }, std::uint64_t { 1 }, ~std::uint64_t { 0 } }), hash)
{
    BOOST_TEST(unitInterval(hash) > 0.0);
    BOOST_TEST(unitInterval(hash) < 1.0);
}
