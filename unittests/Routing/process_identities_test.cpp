// Tests which entries of servers are trusted after their connections broke.
#include "radishflow/Routing/process_identities.h"

#include "test_servers.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>

using namespace radishflow;
using namespace std::chrono_literals;

namespace {

constexpr std::int64_t listedStart = 10;
const time_point start { 100s };

struct process_identities_fixture {
    process_identities identities;
    server_list list = testServers(2);
    listed_server& server = list.servers.begin()->second;

    process_identities_fixture()
    {
        for (auto& [id, entry] : list.servers)
            entry.processStartMs = listedStart;
    }

    std::size_t questions(time_point now) { return identities.takeDueQuestions(list, now).size(); }
};

/// What a server that refused connections states later.
struct statement_case {
    const char* name;
    std::int64_t processStartMs;
    duration askedAfter; ///< The refusal.
    bool isKnown;

    friend std::ostream& operator<<(std::ostream& out, const statement_case& testCase) { return out << testCase.name; }
};

const statement_case statements[] {
    { "same process", listedStart, 1s, true },
    { "later process", listedStart + 5, 1s, false },
    { "process of a host whose clock was set back", listedStart - 5, 1s, false },
    { "no process", 0, 1s, true },
    { "same process, asked before the refusal", listedStart, -1s, false },
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ProcessIdentities, process_identities_fixture)

BOOST_DATA_TEST_CASE_F(process_identities_fixture, serverIsKnownByWhatItStates, boost::unit_test::data::make(statements), testCase)
{
    BOOST_TEST(identities.isKnown(server));
    identities.recordRefused(server, start);
    BOOST_TEST(!identities.isKnown(server));
    identities.recordProcess(server.id, testCase.processStartMs, start + testCase.askedAfter);
    BOOST_TEST(identities.isKnown(server) == testCase.isKnown);
}

BOOST_AUTO_TEST_CASE(entryOfAnotherProcessIsTrusted)
{
    identities.recordRefused(server, start);
    server.processStartMs = listedStart + 5;
    BOOST_TEST(identities.isKnown(server));
    identities.retain(list, start);
    BOOST_TEST(identities.size() == 0U);
}

BOOST_AUTO_TEST_CASE(formerEntryThatReturnsIsNotTrusted)
{
    identities.recordRefused(server, start);
    identities.retain({}, start + 10s);
    BOOST_TEST(!identities.isKnown(server));
    identities.retain({}, start + 100s);
    BOOST_TEST(identities.size() == 0U);
}

BOOST_AUTO_TEST_CASE(serversWithoutAKnownStartAreTrusted)
{
    server.processStartMs = 0;
    identities.recordRefused(server, start);
    BOOST_TEST(identities.isKnown(server));
}

BOOST_AUTO_TEST_CASE(onlyNeededServersAreAskedAndEachTimeLater)
{
    identities.recordRefused(server, start);
    BOOST_TEST(questions(start) == 0U);
    identities.recordNeed(server.id);
    int asked = 0;
    for (time_point now = start; now < start + 4s; now += 50ms)
        asked += static_cast<int>(questions(now));
    BOOST_TEST(asked == 8); // After 0, 0.1, 0.3, 0.7, 1.5, 2.3, 3.1 and 3.9 s.
    identities.resetIntervals(list, server.service, start + 4s);
    BOOST_TEST(questions(start + 4s) == 1U);
    identities.recordProcess(server.id, listedStart + 5, start + 4s);
    BOOST_TEST(questions(start + 10s) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
