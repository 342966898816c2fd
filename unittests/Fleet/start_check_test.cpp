// Tests which hosts a daemon that starts asks for the configuration in force, and for how long it waits.
#include "radishflow/Fleet/start_check.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <set>
#include <string>
#include <vector>

using namespace radishflow;
using namespace std::chrono_literals;

namespace {

constexpr time_point startTime { 1h };

struct start_case {
    const char* name;
    std::vector<std::string> hosts;
    std::set<std::string> withConfig;
    bool isListRead;
    const char* asked;
    bool isDone;

    friend std::ostream& operator<<(std::ostream& out, const start_case& test) { return out << test.name; }
};

const start_case startCases[] {
    { "no host is known yet", {}, {}, false, "", false },
    { "alone", {}, {}, true, "", true },
    { "only itself", { "self" }, {}, true, "", true },
    { "a seed that responds, before the list is read", { "a", "self" }, { "a" }, false, "a ", false },
    { "a seed that responds", { "a", "self" }, { "a" }, true, "a ", true },
    { "seeds that do not respond, before the list is read", { "a", "b" }, {}, false, "a b ", false },
    { "all daemons start at once", { "a", "b", "c" }, {}, true, "a b c ", true },
    { "one of the listed daemons responds", { "a", "b", "c" }, { "c" }, true, "a b c ", true },
    { "a large fleet", { "a", "b", "c", "d", "e", "f" }, { "a", "c", "d", "e", "f" }, false, "a b c d ", true },
    { "a host that is named twice", { "a", "b", "a" }, {}, true, "a b ", true },
};

} // namespace

BOOST_DATA_TEST_CASE(otherDaemonsAreAskedUntilEnoughHaveResponded, boost::unit_test::data::make(startCases), test)
{
    start_check check { "self", { .maxWait = 1s, .maxResponses = 3 } };
    BOOST_TEST(!check.isDone(startTime - 10s));
    check.begin(startTime);
    check.begin(startTime + 500ms);
    check.addHosts(test.hosts);
    if (test.isListRead)
        check.recordListRead();
    std::string asked;
    while (const auto host = check.next()) {
        asked += *host + ' ';
        check.recordResponse(*host, test.withConfig.contains(*host) ? start_response::Stated : start_response::None);
    }
    BOOST_TEST(asked == test.asked);
    BOOST_TEST(check.isDone(startTime + 999ms) == test.isDone);
    BOOST_TEST(check.isDone(startTime + 1s));
}

BOOST_AUTO_TEST_CASE(hostsThatDoNotRespondInTimeAreAskedAgainAfterTheOthers)
{
    start_check check { "self", { .maxCalls = 5 } };
    check.addHosts({ "a", "b" });
    check.addHosts({ "c", "a" }, true);
    check.recordListRead();
    std::string asked;
    while (const auto host = check.next()) {
        asked += *host + ' ';
        check.recordResponse(*host, *host == "a" ? start_response::TimedOut : start_response::None);
    }
    BOOST_TEST(asked == "c a b a a ");
    BOOST_TEST(check.isDone(startTime));
}
