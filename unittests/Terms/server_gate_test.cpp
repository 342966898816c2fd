// Tests how much a gate reserves for former holders as reports about them arrive.
#include "radishflow/Terms/server_gate.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace radishflow;
using namespace std::chrono_literals;

/// A gate with a limit of 12 and one former holder, whose grace share is 6 and whose window is 2.
struct settled_gate {
    explicit settled_gate(std::optional<int> recordedRunning = std::nullopt)
    {
        ownership_row row { .daemon = daemon_id { "b" }, .incarnation = incarnation_number { 1 }, .term = term_number { 2 } };
        row.formerHolders.push_back({ .daemon = daemon_id { "a" }, .incarnation = incarnation_number { 1 }, .term = term_number { 1 }, .running = recordedRunning });
        gate.acquire(row, now);
        report(3);
    }

    void report(int runningOfFormer)
    {
        now += 10s;
        gate.acceptReport({ .takenAfter = now, .running = runningOfFormer, .hasOrigins = true, .runningByOrigin = { { term_number { 1 }, runningOfFormer } } });
    }

    int allowed()
    {
        const permit answer = gate.admit(12, term_phase::Running, now);
        if (answer.isGranted)
            gate.recordAbandoned(answer.term);
        return answer.allowed;
    }

    void markRetired() { gate.markRetired(daemon_id { "a" }, incarnation_number { 1 }, now); }

    term_options options;
    server_gate gate { options };
    time_point now { 1h };
};

BOOST_AUTO_TEST_CASE(retiredHolderKeepsWindowUntilNewerReport)
{
    settled_gate test;
    BOOST_TEST(test.allowed() == 4);
    test.markRetired(); // Requests of its window may have been written after the last report.
    BOOST_TEST(test.allowed() == 4);
    test.report(8);
    BOOST_TEST(test.allowed() == 4);
    test.report(5);
    BOOST_TEST(test.allowed() == 7);
    test.gate.acceptReport({ .takenAfter = test.now - 5s, .running = 6, .hasOrigins = true, .runningByOrigin = { { term_number { 1 }, 6 } } });
    BOOST_TEST(test.allowed() == 7); // A report older than the last one is ignored.
    BOOST_TEST(!test.gate.hasObsoleteShares(test.now));
    test.report(0);
    BOOST_TEST(test.allowed() == 12);
    BOOST_TEST(test.gate.hasObsoleteShares(test.now));
}

BOOST_AUTO_TEST_CASE(withoutReportsMaxRequestDurationReleasesShares)
{
    settled_gate test;
    test.now += test.options.maxRequestDuration;
    test.markRetired();
    BOOST_TEST(test.allowed() == 4);
    test.now += test.options.maxRequestDuration;
    BOOST_TEST(test.allowed() == 12);
}

BOOST_DATA_TEST_CASE(releaseReservesRecordedRunningRequests, boost::unit_test::data::make({ 0, 1, 5, 12, 20 }), recordedRunning)
{
    settled_gate test { recordedRunning };
    BOOST_TEST(test.allowed() == std::max(12 - std::min(recordedRunning, 3), 0)); // The report shows three running requests.
}

BOOST_AUTO_TEST_CASE(limitDecreaseRequiresNewReport)
{
    settled_gate test;
    test.report(6);
    BOOST_TEST(test.allowed() == 4);
    BOOST_TEST((test.gate.admit(8, term_phase::Running, test.now).reason == refusal_reason::Unsettled));
    test.report(4);
    BOOST_TEST(test.gate.admit(8, term_phase::Running, test.now).isGranted);
}
