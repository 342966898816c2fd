// Tests the encoding of a table's update in the fleet's register.
#include "radishflow/Fleet/table_update.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <limits>
#include <ostream>

using namespace radishflow;
using namespace std::chrono_literals;

namespace {

struct register_case {
    const char* bytes;
    std::uint64_t revision;
    std::vector<std::chrono::milliseconds> readings;
};

std::ostream& operator<<(std::ostream& out, const register_case& test) { return out << test.bytes; }

const register_case registers[] {
    { "", 0, {} },
    { "12", 12, {} },
    { "12 0 700", 12, { 9000ms, 8300ms } },
    { "12 0 x 700", 12, { 9000ms } },
    { "12 -5 700", 12, {} },
    { "12 9001", 12, {} },
    { "x 1", 0, {} },
    { "12 99999999999999999999 1", 12, {} },
};

} // namespace

BOOST_DATA_TEST_CASE(malformedFieldsOfARegisterAreLeftOut, boost::unit_test::data::make(registers), test)
{
    const table_update update = table_update::decode(test.bytes, 9000ms, 3);
    BOOST_TEST(update.lastChangeRevision == test.revision);
    BOOST_TEST((update.recentReadings == test.readings));
    BOOST_TEST((update.storeTime == 9000ms));
    BOOST_TEST(update.era == 3U);
}

namespace {

struct tie_case {
    std::uint64_t earlier;
    std::uint64_t later;
};

std::ostream& operator<<(std::ostream& out, const tie_case& test) { return out << test.earlier << ' ' << test.later; }

const tie_case ties[] { { 0, 8 }, { 8, 18 }, { 99, 100 }, { 999, 1000 }, { 9, std::numeric_limits<std::uint64_t>::max() } };

} // namespace

// A daemon that has just read a whole table does not know of the removals in it.
BOOST_DATA_TEST_CASE(startedDaemonDoesNotOverwriteALaterChangeOfTheSameStoreTime, boost::unit_test::data::make(ties), test)
{
    const table_update started { .storeTime = 9000ms, .lastChangeRevision = test.earlier, .recentReadings = { 9000ms } };
    const table_update later { .storeTime = 9000ms, .lastChangeRevision = test.later };
    BOOST_TEST((later.encode() > started.encode()));
}

BOOST_AUTO_TEST_CASE(registerKeepsRevisionAndReadings)
{
    const table_update update { .storeTime = 9000ms, .lastChangeRevision = 7, .recentReadings = { 9000ms, 8400ms, 4000ms } };
    const table_update decoded = table_update::decode(update.encode(), 9000ms, 0);
    BOOST_TEST(decoded.lastChangeRevision == 7U);
    BOOST_TEST((decoded.recentReadings == update.recentReadings));
}
