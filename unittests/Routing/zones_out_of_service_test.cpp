// Tests which zones are out of service when the platform's store comes back from an old copy.
#include "radishflow/Routing/zones_out_of_service.h"
#include "radishflow/Support/manual_clock.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>

using namespace radishflow;
using namespace std::chrono_literals;

namespace {

enum class table_change {
    None,
    OldCopyWithoutZone,
    OldCopyTwice,
    OldCopyThenTakenOut,
    OldCopyThenTakenBack,
    NewTableWithoutZone,
    TakenBack,
};

struct zone_case {
    const char* name;
    table_change change;
    bool isOutAfter3s;
    bool isOutAfter6s;
};

std::ostream& operator<<(std::ostream& out, const zone_case& test) { return out << test.name; }

const zone_case cases[] {
    { "no change", table_change::None, true, true },
    { "old copy that lacks the zone", table_change::OldCopyWithoutZone, true, false },
    { "the old copy again", table_change::OldCopyTwice, true, false },
    { "old copy, and the operator writes the zone again", table_change::OldCopyThenTakenOut, true, true },
    { "old copy, and the operator takes the zone back", table_change::OldCopyThenTakenBack, false, false },
    { "table without the zone", table_change::NewTableWithoutZone, false, false },
    { "taken back", table_change::TakenBack, false, false },
};

} // namespace

BOOST_DATA_TEST_CASE(zoneThatAnOldCopyLacksStaysOutOfServiceUntilTheOperatorHasWrittenAgain, boost::unit_test::data::make(cases), test)
{
    const zone_id zone { "za" };
    manual_clock clock;
    zones_out_of_service<manual_clock> zones { clock };
    zones.set(zone, true);
    const bool isOldCopy = test.change != table_change::NewTableWithoutZone;
    if (test.change != table_change::None && test.change != table_change::TakenBack)
        zones.replaceAll({}, isOldCopy);
    clock.advance(1s);
    if (test.change == table_change::OldCopyTwice)
        zones.replaceAll({}, true);
    if (test.change == table_change::OldCopyThenTakenOut)
        zones.set(zone, true);
    if (test.change == table_change::OldCopyThenTakenBack || test.change == table_change::TakenBack)
        zones.set(zone, false);
    clock.advance(2s);
    BOOST_TEST(zones.zones().contains(zone) == test.isOutAfter3s);
    clock.advance(3s);
    BOOST_TEST(zones.zones().contains(zone) == test.isOutAfter6s);
    BOOST_TEST(!zones.hasPendingChanges());
}
