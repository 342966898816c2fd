// Tests which entries of servers are trusted after connections to them failed.
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

    std::size_t queries(time_point now, std::size_t maxCount = 10) { return identities.takeDueQueries(list, now, maxCount).size(); }
};

/// What a server to which a connection failed states later.
struct statement_case {
    const char* name;
    std::int64_t processStartMs;
    duration queriedAfter; ///< The connection failed.
    bool isKnown;

    friend std::ostream& operator<<(std::ostream& out, const statement_case& testCase) { return out << testCase.name; }
};

const statement_case statements[] {
    { "same process", listedStart, 1s, true },
    { "later process", listedStart + 5, 1s, false },
    { "process of a host whose clock was set back", listedStart - 5, 1s, false },
    { "no process", 0, 1s, true },
    { "same process, queried before the failure", listedStart, -1s, false },
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ProcessIdentities, process_identities_fixture)

BOOST_DATA_TEST_CASE_F(process_identities_fixture, serverIsKnownByWhatItStates, boost::unit_test::data::make(statements), testCase)
{
    BOOST_TEST(identities.isKnown(server));
    identities.recordConnectFailure(server, start);
    BOOST_TEST(!identities.isKnown(server));
    identities.recordProcess(server, testCase.processStartMs, start + testCase.queriedAfter);
    BOOST_TEST(identities.isKnown(server) == testCase.isKnown);
}

BOOST_AUTO_TEST_CASE(entryOfAnotherProcessIsTrusted)
{
    identities.recordConnectFailure(server, start);
    server.processStartMs = listedStart + 5;
    BOOST_TEST(identities.isKnown(server));
    identities.retain(list, start);
    BOOST_TEST(identities.size() == 0U);
}

BOOST_AUTO_TEST_CASE(formerEntryThatReturnsIsNotTrusted)
{
    identities.recordConnectFailure(server, start);
    identities.retain({}, start + 10s);
    BOOST_TEST(!identities.isKnown(server));
    identities.retain({}, start + 100s);
    BOOST_TEST(identities.size() == 0U);
}

// Guards against an entry that returns from an older copy of the list, or lacks its start for a time, and is trusted then.
BOOST_DATA_TEST_CASE_F(process_identities_fixture, formerEntryIsNotTrustedAfterAnotherOne, boost::unit_test::data::make({ std::int64_t { 0 }, listedStart - 5 }), meanwhile)
{
    identities.recordConnectFailure(server, start);
    identities.recordProcess(server, listedStart + 5, start + 1s);
    server.processStartMs = meanwhile;
    BOOST_TEST(identities.isKnown(server) == (meanwhile == 0));
    identities.retain(list, start + 2s);
    server.processStartMs = listedStart;
    BOOST_TEST(!identities.isKnown(server));
    server.processStartMs = listedStart + 5;
    BOOST_TEST(identities.isKnown(server));
}

// Guards against servers that serve but are never trusted, since their reports are late.
BOOST_AUTO_TEST_CASE(renewedEntryIsTrustedUnlessAnotherProcessWasStated)
{
    identities.recordConnectFailure(server, start);
    identities.recordRenewals(list, start);
    BOOST_TEST(!identities.isKnown(server));
    identities.recordRenewals(list, start + 1ms);
    BOOST_TEST(identities.isKnown(server));
    identities.recordConnectFailure(server, start);
    identities.recordProcess(server, listedStart + 5, start);
    identities.recordRenewals(list, start + 1s);
    BOOST_TEST(!identities.isKnown(server));
}

// Guards against connections that fail so often that each response is discarded.
BOOST_AUTO_TEST_CASE(failureOfAConnectionBegunBeforeTheQueryDiscardsNoResponse)
{
    identities.recordConnectFailure(server, start);
    identities.recordNeed(server.id);
    BOOST_TEST(queries(start) == 1U);
    identities.recordConnectFailure(server, start + 10ms);
    BOOST_TEST(queries(start + 50ms) == 0U);
    identities.recordProcess(server, listedStart, start + 20ms);
    BOOST_TEST(identities.isKnown(server));
}

// Guards against servers that respond but wait behind silent ones.
BOOST_AUTO_TEST_CASE(serversWithTheFewestQueriesComeFirst)
{
    listed_server& other = list.servers.rbegin()->second;
    identities.recordConnectFailure(server, start);
    identities.recordNeed(server.id);
    BOOST_TEST(queries(start) == 1U);
    identities.recordConnectFailure(other, start);
    identities.recordNeed(other.id);
    const auto due = identities.takeDueQueries(list, start + 1s, 1);
    BOOST_REQUIRE(due.size() == 1U);
    BOOST_TEST(due.front().id.value() == other.id.value());
}

BOOST_AUTO_TEST_CASE(serversWithoutAKnownStartAreTrusted)
{
    server.processStartMs = 0;
    identities.recordConnectFailure(server, start);
    BOOST_TEST(identities.isKnown(server));
}

BOOST_AUTO_TEST_CASE(onlyNeededServersAreQueriedAndEachTimeLater)
{
    identities.recordConnectFailure(server, start);
    BOOST_TEST(queries(start) == 0U);
    identities.recordNeed(server.id);
    int sent = 0;
    for (time_point now = start; now < start + 4s; now += 50ms)
        sent += static_cast<int>(queries(now));
    BOOST_TEST(sent == 8); // After 0, 0.1, 0.3, 0.7, 1.5, 2.3, 3.1 and 3.9 s.
    identities.resetIntervals(list, server.service, start + 4s);
    BOOST_TEST(queries(start + 4s) == 1U);
    identities.recordProcess(server, listedStart + 5, start + 4s);
    BOOST_TEST(queries(start + 10s) == 0U);
}

// Guards against streams that go on at a server which has restarted while it had no requests: no connection has failed there.
BOOST_DATA_TEST_CASE_F(process_identities_fixture, serverWithoutFailuresIsConfirmedByItsStatementForAShortTime, boost::unit_test::data::make(statements), testCase)
{
    const time_point queriedAt = start + 1s;
    BOOST_TEST(!identities.hasJustStated(server, queriedAt));
    identities.recordProcess(server, testCase.processStartMs, queriedAt);
    const bool isConfirmed = testCase.processStartMs == 0 || testCase.processStartMs == listedStart;
    BOOST_TEST(identities.isKnown(server) == isConfirmed);
    BOOST_TEST(identities.hasJustStated(server, queriedAt + 200ms) == isConfirmed);
    BOOST_TEST(!identities.hasJustStated(server, queriedAt + 400ms));
    server.processStartMs = listedStart + 1;
    BOOST_TEST(!identities.hasJustStated(server, queriedAt + 200ms));
}

// A server whose reports are late is trusted once its entry was renewed, and then without a report.
BOOST_AUTO_TEST_CASE(silentServerIsUnknownUntilItsEntryWasRenewed)
{
    identities.recordSilence(server, start);
    BOOST_TEST(!identities.isKnown(server));
    identities.recordSilence(server, start + 1s);
    identities.recordRenewals(list, start + 500ms);
    BOOST_TEST(identities.isKnown(server));
    identities.recordSilence(server, start + 2s);
    BOOST_TEST(identities.isKnown(server));
    BOOST_TEST(identities.hasJustStated(server, start + 2s));
    identities.retain(list, start + 100s);
    identities.recordSilence(server, start + 100s);
    BOOST_TEST(!identities.isKnown(server));
}

BOOST_AUTO_TEST_SUITE_END()
