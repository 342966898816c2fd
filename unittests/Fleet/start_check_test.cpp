// Tests which daemons one that starts asks for the configuration in force, and for how long it waits.
#include "radishflow/Fleet/start_check.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <string>

using namespace radishflow;
using namespace std::chrono_literals;

namespace {

constexpr time_point startTime { 1h };

struct fleet_case {
    const char* name;
    int others;
    int firstAccepting; ///< Number of the first daemon that accepts callers; all later ones do so too.
    const char* asked;
    bool isDoneAtOnce;

    friend std::ostream& operator<<(std::ostream& out, const fleet_case& test) { return out << test.name; }
};

const fleet_case fleetCases[] {
    { "alone", 0, 0, "", false },
    { "one other daemon", 1, 0, "0 ", true },
    { "none accepts callers", 2, 2, "0 1 ", true },
    { "those that accept callers first", 5, 3, "3 4 0 ", true },
    { "a large fleet", 350, 0, "0 1 2 ", true },
};

fleet_view viewOf(const fleet_case& test)
{
    fleet_view view { .self = daemon_id { "self" } };
    view.daemons.push_back({ .id = view.self, .acceptsCallers = true });
    for (int number = 0; number < test.others; ++number)
        view.daemons.push_back({ .id = daemon_id { std::to_string(number) }, .acceptsCallers = number >= test.firstAccepting });
    return view;
}

} // namespace

BOOST_DATA_TEST_CASE(otherDaemonsAreAskedUntilEnoughHaveAnswered, boost::unit_test::data::make(fleetCases), test)
{
    const fleet_view view = viewOf(test);
    start_check check { startTime, { .maxWait = 1s, .maxDaemons = 3 } };
    BOOST_TEST(!check.isDone(view, startTime));
    std::string asked;
    while (const auto daemon = check.next(view)) {
        asked += daemon->id.value() + ' ';
        check.recordAsked(daemon->id, true);
    }
    BOOST_TEST(asked == test.asked);
    BOOST_TEST(check.isDone(view, startTime) == test.isDoneAtOnce);
    BOOST_TEST(check.isDone(view, startTime + 1s));
}
