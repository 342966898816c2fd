// Tests what a gate reserves for former holders as more becomes known about them.
#include "radishflow/Terms/server_gate.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace radishflow;
using namespace std::chrono_literals;

/// A limit of 12 after one former holder, whose dark share is 6 and whose window is 2.
struct settled_gate {
    explicit settled_gate(std::optional<int> stated = std::nullopt)
    {
        ownership_row row { .daemon = daemon_id { "b" }, .incarnation = incarnation_number { 1 }, .term = term_number { 2 } };
        row.formerHolders.push_back({ .daemon = daemon_id { "a" }, .incarnation = incarnation_number { 1 }, .term = term_number { 1 }, .running = stated });
        gate.own(row, now);
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
            gate.abandoned(answer.term);
        return answer.allowed;
    }

    void markGone() { gate.markGone(daemon_id { "a" }, incarnation_number { 1 }, now); }

    term_options options;
    server_gate gate { options };
    time_point now { 1h };
};

BOOST_AUTO_TEST_CASE(holderThatIsGoneKeepsItsWindowUntilANewerReport)
{
    settled_gate test;
    BOOST_TEST(test.allowed() == 4);
    test.markGone(); // Its window may have been written after the last report.
    BOOST_TEST(test.allowed() == 4);
    test.report(8);
    BOOST_TEST(test.allowed() == 4);
    test.report(5);
    BOOST_TEST(test.allowed() == 7);
    test.gate.acceptReport({ .takenAfter = test.now - 5s, .running = 6, .hasOrigins = true, .runningByOrigin = { { term_number { 1 }, 6 } } });
    BOOST_TEST(test.allowed() == 7); // A report that comes late is ignored.
    BOOST_TEST(!test.gate.hasObsoleteShares(test.now));
    test.report(0);
    BOOST_TEST(test.allowed() == 12);
    BOOST_TEST(test.gate.hasObsoleteShares(test.now));
}

BOOST_AUTO_TEST_CASE(withoutReportsTheLongestRequestSettles)
{
    settled_gate test;
    test.now += test.options.maxRequestDuration;
    test.markGone();
    BOOST_TEST(test.allowed() == 4);
    test.now += test.options.maxRequestDuration;
    BOOST_TEST(test.allowed() == 12);
}

BOOST_DATA_TEST_CASE(releaseStatesItsRunningWork, boost::unit_test::data::make({ 0, 1, 5, 12, 20 }), stated)
{
    settled_gate test { stated };
    BOOST_TEST(test.allowed() == std::max(12 - std::min(stated, 3), 0)); // The report shows three.
}

BOOST_AUTO_TEST_CASE(fallOfTheLimitSettlesAnew)
{
    settled_gate test;
    test.report(6);
    BOOST_TEST(test.allowed() == 4);
    BOOST_TEST((test.gate.admit(8, term_phase::Running, test.now).reason == refusal_reason::Unsettled));
    test.report(4);
    BOOST_TEST(test.gate.admit(8, term_phase::Running, test.now).isGranted);
}
