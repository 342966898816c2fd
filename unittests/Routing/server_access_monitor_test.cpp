// Tests when a daemon decides that it has lost the path to the backend servers of a service, and when that it has regained it.
#include "radishflow/Routing/server_access_monitor.h"
#include "radishflow/Support/manual_clock.h"

#include "test_servers.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <vector>

using namespace radishflow;
using namespace std::chrono_literals;

namespace {

struct monitor_fixture {
    manual_clock clock;
    server_access_monitor<manual_clock> monitor { clock };

    void failConnection(int server, std::size_t listed = 4) { monitor.recordConnectFailure(testServer(server).id, listed); }

    /// Runs all probes that are due.
    void probe(bool hasReachedServer)
    {
        while (monitor.isProbeDue()) {
            monitor.recordProbe(hasReachedServer);
            if (monitor.state() == server_access_state::Unavailable)
                return;
        }
    }

    void loseAccess()
    {
        failConnection(0);
        failConnection(1);
        probe(false);
        BOOST_REQUIRE((monitor.state() == server_access_state::Unavailable));
    }
};

struct failure_case {
    const char* name;
    std::vector<int> servers; ///< To which connections fail, one each 100 ms.
    std::size_t listed;
    bool connectsBetween; ///< Whether another connection is established after each failure.
    bool isDoubtful;

    friend std::ostream& operator<<(std::ostream& out, const failure_case& testCase) { return out << testCase.name; }
};

const std::vector<failure_case> failures {
    { "one dead server of four", { 0, 0, 0, 0, 0, 0 }, 4, false, false },
    { "two dead servers of four while others accept connections", { 0, 1, 0, 1 }, 4, true, false },
    { "two servers of four in a row", { 0, 1 }, 4, false, true },
    { "the only server", { 0 }, 1, false, true },
};

struct silence_case {
    const char* name;
    bool hasExchange;
    duration contactInterval; ///< 0 for none.
    bool isDoubtful;

    friend std::ostream& operator<<(std::ostream& out, const silence_case& testCase) { return out << testCase.name; }
};

const std::vector<silence_case> silences {
    { "no request waits", false, 0ms, false },
    { "a request waits and no server sends", true, 0ms, true },
    { "a request waits and other servers send", true, 400ms, false },
};

} // namespace

BOOST_DATA_TEST_CASE(failuresOfSeveralServersRaiseADoubt, boost::unit_test::data::make(failures), testCase)
{
    monitor_fixture fixture;
    for (const int server : testCase.servers) {
        fixture.failConnection(server, testCase.listed);
        if (testCase.connectsBetween)
            fixture.monitor.recordConnected();
        fixture.clock.advance(100ms);
    }
    BOOST_TEST((fixture.monitor.state() == server_access_state::Doubtful) == testCase.isDoubtful);
}

BOOST_DATA_TEST_CASE(silenceOfAllServersRaisesADoubt, boost::unit_test::data::make(silences), testCase)
{
    monitor_fixture fixture;
    fixture.monitor.recordContact();
    if (testCase.hasExchange)
        fixture.monitor.startExchange();
    bool isDoubtful = false;
    for (int step = 1; step <= 20; ++step) {
        fixture.clock.advance(100ms);
        if (testCase.contactInterval > 0ms && (step * 100ms) % testCase.contactInterval == 0ms)
            fixture.monitor.recordContact();
        isDoubtful = isDoubtful || fixture.monitor.isProbeDue();
    }
    BOOST_TEST(isDoubtful == testCase.isDoubtful);
}

BOOST_FIXTURE_TEST_SUITE(ServerAccessMonitor, monitor_fixture)

BOOST_AUTO_TEST_CASE(reachedServerEndsADoubt)
{
    failConnection(0);
    failConnection(1);
    probe(true);
    BOOST_TEST((monitor.state() == server_access_state::Available));
    BOOST_TEST(monitor.contactAge().has_value());
}

BOOST_AUTO_TEST_CASE(oneFailedProbeDoesNotDecide)
{
    failConnection(0);
    failConnection(1);
    BOOST_REQUIRE(monitor.isProbeDue());
    monitor.recordProbe(false);
    BOOST_TEST((monitor.state() == server_access_state::Doubtful));
    monitor.recordProbe(true);
    BOOST_TEST((monitor.state() == server_access_state::Available));
}

BOOST_AUTO_TEST_CASE(nothingIsPublishedWithoutAccess)
{
    monitor.recordContact();
    loseAccess();
    monitor.recordContact(); // By an open connection.
    BOOST_TEST(!monitor.contactAge().has_value());
    BOOST_TEST(monitor.hasLiveConnections());
}

BOOST_AUTO_TEST_CASE(probesWithoutAccessKeepTheirInterval)
{
    loseAccess();
    int probes = 0;
    for (int step = 0; step < 100; ++step) {
        clock.advance(10ms);
        if (!monitor.isProbeDue())
            continue;
        ++probes;
        monitor.recordProbe(false);
    }
    BOOST_TEST(probes == 5);
}

BOOST_AUTO_TEST_CASE(flappingPathTakesLongerToRecoverButLessThanASecond)
{
    int previousProbes = 0;
    for (int round = 0; round < 5; ++round) {
        loseAccess();
        const time_point healedAt = clock.now();
        int probes = 0;
        while (monitor.state() != server_access_state::Available) {
            clock.advance(10ms);
            if (monitor.isProbeDue()) {
                ++probes;
                monitor.recordProbe(true);
            }
        }
        BOOST_TEST(probes >= previousProbes);
        BOOST_TEST((clock.now() - healedAt < 1s));
        previousProbes = probes;
        clock.advance(500ms);
    }
    BOOST_TEST(previousProbes > 1);
    clock.advance(20s);
    loseAccess();
    clock.advance(200ms);
    probe(true);
    BOOST_TEST((monitor.state() == server_access_state::Available));
}

BOOST_AUTO_TEST_SUITE_END()
