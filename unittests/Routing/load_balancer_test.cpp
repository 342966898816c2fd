// Tests the load balancer: load estimates, ejection of failing servers, cold servers and prompt origins.
#include "radishflow/Routing/load_balancer.h"
#include "radishflow/Support/manual_clock.h"

#include "test_servers.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <cmath>
#include <map>

using namespace radishflow;
using namespace std::chrono_literals;

namespace {

struct load_balancer_fixture {
    manual_clock clock;
    load_balancer<manual_clock> balancer { clock };
    server_list list = testServers(4);
    fleet_view fleet = testFleet(3);
    std::uint64_t tie = 0;

    std::optional<chosen_server> startRequest(std::uint64_t affinity = 0, double coldRate = 0)
    {
        return balancer.startRequest(list, { .service = service_id { "model" }, .affinity = affinity, .tieBreak = tie++, .zone = zone_id { "za" }, .coldRequestsPerSecond = coldRate, .fleet = &fleet });
    }

    // Runs a request on the given server and ends it at once.
    void runRequest(const std::string& server, server_outcome outcome)
    {
        const std::vector<server_id> others = allBut(server);
        const auto chosen = balancer.startRequest(list, { .service = service_id { "model" }, .zone = zone_id { "za" }, .excluded = others, .fleet = &fleet });
        BOOST_REQUIRE(chosen->server.id.value() == server);
        balancer.finishRequest(chosen->server.id, outcome);
    }

    std::vector<server_id> allBut(const std::string& server) const
    {
        std::vector<server_id> others;
        for (const auto& [id, entry] : list.servers) {
            if (id.value() != server)
                others.push_back(id);
        }
        return others;
    }

    std::map<std::string, int> distribute(int requests)
    {
        std::map<std::string, int> counts;
        for (int request = 0; request < requests; ++request)
            ++counts[startRequest()->server.id.value()];
        return counts;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(LoadBalancer, load_balancer_fixture)

BOOST_AUTO_TEST_CASE(requestsSpreadEvenly)
{
    for (const auto& [server, count] : distribute(40))
        BOOST_TEST(count == 10);
}

BOOST_AUTO_TEST_CASE(loadReportsShowRequestsOfOtherDaemonsUntilTheyExpire)
{
    balancer.recordLoadReport(server_id { "s0" }, { .running = 30, .waiting = 2, .slots = 64 });
    for (const std::string name : { "s1", "s2", "s3" })
        balancer.recordLoadReport(server_id { name }, { .running = 1, .waiting = 0, .slots = 64 });
    BOOST_TEST(!distribute(30).contains("s0"));
    clock.advance(10s);
    BOOST_TEST(distribute(30).contains("s0"));
}

// Guards against a mean load that stays high after a burst, and against all daemons returning at once to a server whose report
// expires: as a report ages, the estimate moves to the one without a report.
BOOST_AUTO_TEST_CASE(estimateDoesNotJumpWhenALoadReportExpires)
{
    const load_balancer_options options;
    for (int request = 0; request < 8; ++request)
        startRequest();
    balancer.recordLoadReport(server_id { "s0" }, { .running = 30, .slots = 64 });
    const auto estimateAfter = [&](duration step) {
        clock.advance(step);
        const auto chosen = balancer.startRequest(list, { .service = service_id { "model" }, .zone = zone_id { "za" }, .excluded = allBut("s0"), .fleet = &fleet });
        balancer.finishRequest(chosen->server.id, server_outcome::Abandoned);
        return chosen->basis.load;
    };
    const double atOnce = estimateAfter(0s);
    const double halfway = estimateAfter(options.reportLifetime / 2);
    const double beforeExpiry = estimateAfter(options.reportLifetime / 2 - 1ms);
    const double afterExpiry = estimateAfter(2ms);
    BOOST_TEST(atOnce == 30);
    BOOST_TEST(halfway == (atOnce + afterExpiry) / 2, boost::test_tools::tolerance(0.01));
    BOOST_TEST(beforeExpiry == afterExpiry, boost::test_tools::tolerance(0.01));
}

// Guards against moving a prompt because of this daemon's own requests: in a large fleet, they are a weak sample of a
// server's load, so without a load report the prompt must stay at its primary holder.
BOOST_AUTO_TEST_CASE(primaryHolderIsKeptUntilALoadReportExceedsTheBound)
{
    fleet = testFleet(68);
    list = testServers(90);
    for (int request = 0; request < 40; ++request)
        startRequest(1000 + request);
    const std::string primary = startRequest(7)->server.id.value();
    for (int request = 0; request < 2; ++request)
        BOOST_TEST(startRequest(7)->server.id.value() == primary);
    balancer.recordLoadReport(server_id { primary }, { .running = 200, .waiting = 0, .slots = 64 });
    BOOST_TEST(startRequest(7)->server.id.value() != primary);
}

// Requests that this daemon sent between another daemon's report and its arrival are not in the report.
BOOST_AUTO_TEST_CASE(ownRequestsSentAfterAPeersReportAreCounted)
{
    balancer.retain(list);
    const auto startAtFirst = [&] { return balancer.startRequest(list, { .service = service_id { "model" }, .zone = zone_id { "za" }, .excluded = allBut("s0"), .fleet = &fleet }); };
    startAtFirst();
    clock.advance(400ms);
    for (int request = 0; request < 3; ++request)
        startAtFirst();
    clock.advance(100ms);
    balancer.recordPeerLoads({ { .server = serverHashOf(server_id { "s0" }), .requests = 10, .age = 300ms } }, false);
    const double load = startAtFirst()->basis.load;
    BOOST_TEST(load > 10.5);
    BOOST_TEST(load <= 13);
}

// The list of a daemon that receives reports can be a moment older than the one that its balancer has.
BOOST_AUTO_TEST_CASE(promptsOfAFormerProcessAreNotMerged)
{
    clock.advance(60s);
    balancer.setContended();
    list.servers.at(server_id { "s0" }).processStartMs = 1000;
    balancer.retain(list);
    server_list renewed = list;
    renewed.servers.at(server_id { "s0" }).processStartMs = 2000;
    renewed.servers.at(server_id { "s0" }).listedAt = clock.now();
    balancer.retain(renewed);
    const std::vector<prompt_report> reports { { .prompt = 1, .server = serverHashOf(server_id { "s0" }), .age = 10s } };
    balancer.mergePromptReports(renewed, reports);
    BOOST_TEST(balancer.takePromptReports(100).empty());
    balancer.mergePromptReports(list, reports);
    BOOST_TEST(balancer.takePromptReports(100).empty());
    clock.advance(20s);
    balancer.mergePromptReports(renewed, reports);
    BOOST_TEST(balancer.takePromptReports(100).size() == 1U);
}

BOOST_AUTO_TEST_CASE(publishedLoadReportsAreUsedByOtherDaemons)
{
    balancer.retain(list);
    balancer.recordLoadReport(server_id { "s0" }, { .running = 30, .waiting = 2, .slots = 64 });
    const std::vector<shared_load> updates = balancer.takeLoadUpdates();
    BOOST_REQUIRE(updates.size() == 1U);
    BOOST_TEST(updates.front().requests == 32);
    BOOST_TEST(balancer.takeLoadUpdates().empty());
    load_balancer<manual_clock> other { clock };
    other.retain(list);
    other.recordPeerLoads(updates, false);
    other.recordPeerLoads({ { .server = 12345, .requests = 5 } }, false);
    for (int request = 0; request < 20; ++request)
        BOOST_TEST(other.startRequest(list, { .service = service_id { "model" }, .tieBreak = tie++, .zone = zone_id { "za" }, .fleet = &fleet })->server.id.value() != "s0");
    BOOST_TEST(other.takeLoadUpdates().empty());
}

// A daemon of a large fleet receives hints of few others, so it must keep the newest report, whichever daemon forwards it, and
// forward it once.
BOOST_AUTO_TEST_CASE(newestPeerReportIsKeptAndForwardedOnce)
{
    balancer.retain(list);
    const std::uint32_t server = serverHashOf(server_id { "s0" });
    struct peer_report {
        shared_load load;
        bool forwards = false;
        std::optional<int> published;
    };
    const std::vector<peer_report> reports {
        { .load = { .server = server, .requests = 30, .age = 400ms }, .forwards = true, .published = 30 },
        { .load = { .server = server, .requests = 30, .age = 400ms }, .forwards = true, .published = std::nullopt },
        { .load = { .server = server, .requests = 9, .age = 900ms }, .forwards = true, .published = std::nullopt },
        { .load = { .server = server, .requests = 7, .age = 300ms }, .forwards = false, .published = std::nullopt },
        { .load = { .server = server, .requests = 5, .age = 100ms }, .forwards = true, .published = 5 },
    };
    for (const peer_report& report : reports) {
        balancer.recordPeerLoads({ report.load }, report.forwards);
        const std::vector<shared_load> updates = balancer.takeLoadUpdates();
        BOOST_REQUIRE(updates.size() == (report.published ? 1U : 0U));
        if (report.published)
            BOOST_TEST(updates.front().requests == *report.published);
    }
    clock.advance(2s);
    balancer.recordPeerLoads({ { .server = server, .requests = 6, .age = 1600ms } }, true);
    BOOST_TEST(balancer.takeLoadUpdates().empty());
}

BOOST_AUTO_TEST_CASE(refusalOfARouteWithoutObjectiveIsNoResponseTime)
{
    balancer.retain(list);
    balancer.setContended();
    balancer.recordFull(list.servers.at(server_id { "s0" }), 0s);
    BOOST_TEST(balancer.takeDelayUpdates().empty());
    balancer.recordFull(list.servers.at(server_id { "s0" }), 150ms);
    BOOST_TEST(balancer.takeDelayUpdates().size() == 1U);
}

// Such as in a daemon that has just started, and has the reports of the others only.
BOOST_AUTO_TEST_CASE(serversThatReportTheirLoadToOthersAreNotDrawn)
{
    balancer.retain(list);
    balancer.setContended();
    std::vector<shared_load> loads { { .server = serverHashOf(server_id { "s0" }), .requests = 30, .age = 100ms } };
    for (const std::string name : { "s1", "s2", "s3" })
        loads.push_back({ .server = serverHashOf(server_id { name }), .requests = 1, .age = 100ms });
    balancer.recordPeerLoads(loads, false);
    for (int request = 0; request < 40; ++request) {
        const auto chosen = balancer.startRequest(list, { .service = service_id { "model" }, .tieBreak = tie++, .zone = zone_id { "za" }, .objective = 150ms, .fleet = &fleet });
        BOOST_TEST(chosen->server.id.value() != "s0");
    }
}

BOOST_AUTO_TEST_CASE(oldReportOfAResponseTimeDoesNotReplaceARecentOne)
{
    response_delay delay;
    delay.recordOwn(40ms, clock.now());
    delay.record(600s, clock.now() - 60s);
    BOOST_TEST(std::abs(delay.secondsAt(clock.now(), 0) - 0.04) < 0.001);
    delay.record(80ms, clock.now() - 200ms);
    BOOST_TEST(std::abs(delay.secondsAt(clock.now(), 0) - 0.044) < 0.001);
}

BOOST_AUTO_TEST_CASE(failingServerIsEjectedForTheEjectTime)
{
    for (int failure = 0; failure < 2; ++failure)
        runRequest("s2", server_outcome::Failed);
    BOOST_TEST(!distribute(20).contains("s2"));
    clock.advance(3s);
    BOOST_TEST(distribute(20).contains("s2"));
}

BOOST_AUTO_TEST_CASE(fewFailuresAmongManySuccessesDoNotEjectAServer)
{
    for (int request = 0; request < 20; ++request)
        runRequest("s2", request % 5 == 4 ? server_outcome::Failed : server_outcome::Served);
    BOOST_TEST(distribute(8).contains("s2"));
}

// A server whose failure rate equals that of the whole service must not be ejected.
BOOST_AUTO_TEST_CASE(failuresOfAWholeServiceDoNotEjectAServer)
{
    for (int request = 0; request < 40; ++request) {
        runRequest("s" + std::to_string(request % 4), request % 8 < 4 ? server_outcome::Failed : server_outcome::Served);
        clock.advance(100ms);
    }
    BOOST_TEST(distribute(40).size() == 4U);
}

BOOST_AUTO_TEST_CASE(ejectedServersAreUsedWhenTheHealthyOnesAreAMinority)
{
    for (const std::string name : { "s0", "s1", "s2" }) {
        for (int failure = 0; failure < 2; ++failure)
            runRequest(name, server_outcome::Failed);
    }
    BOOST_TEST(distribute(40).size() > 1U);
}

BOOST_AUTO_TEST_CASE(unreachableServerIsSkippedForADoublingTime)
{
    runRequest("s1", server_outcome::Unreachable);
    clock.advance(900ms);
    runRequest("s1", server_outcome::Unreachable);
    clock.advance(900ms);
    BOOST_TEST(!distribute(20).contains("s1"));
    clock.advance(800ms);
    BOOST_TEST(distribute(40).contains("s1"));
}

BOOST_AUTO_TEST_CASE(unreachableServerIsChosenWhenAllAreUnreachable)
{
    for (const std::string name : { "s0", "s1", "s2", "s3" })
        runRequest(name, server_outcome::Unreachable);
    BOOST_TEST(startRequest().has_value());
}

BOOST_AUTO_TEST_CASE(drainingServersAndZonesOutOfServiceGetNoRequests)
{
    list.servers.at(server_id { "s1" }).isDraining = true;
    list.servers.at(server_id { "s2" }).zone = zone_id { "out" };
    list.zonesOutOfService.insert(zone_id { "out" });
    const auto counts = distribute(20);
    BOOST_TEST(!counts.contains("s1"));
    BOOST_TEST(!counts.contains("s2"));
}

BOOST_AUTO_TEST_CASE(coldServersGetOnlyThisDaemonsShareOfTheRate)
{
    for (auto& [id, server] : list.servers)
        server.coldUntil = clock.now() + 5s;
    int started = 0;
    while (startRequest(0, 10).has_value())
        ++started;
    BOOST_TEST(started == 4);
    clock.advance(1s);
    BOOST_TEST(startRequest(0, 10).has_value());
}

BOOST_AUTO_TEST_CASE(restartedServerLosesItsRecordedFailures)
{
    balancer.retain(list);
    for (int failure = 0; failure < 4; ++failure)
        runRequest("s2", server_outcome::Failed);
    list.servers.at(server_id { "s2" }).processStartMs = 5;
    balancer.retain(list);
    BOOST_TEST(distribute(20).contains("s2"));
}

// Guards against requests that take a restarted server for its former process, with that one's version and crashes.
BOOST_DATA_TEST_CASE_F(load_balancer_fixture, requestsWithAnEarlierListAvoidRestartedServers, boost::unit_test::data::make({ 6, 4 }), restartedAt)
{
    list.servers.at(server_id { "s2" }).processStartMs = 5;
    balancer.retain(list);
    BOOST_TEST(distribute(20).contains("s2"));
    server_list later = list;
    later.servers.at(server_id { "s2" }).processStartMs = restartedAt;
    balancer.retain(later);
    BOOST_TEST(!distribute(20).contains("s2"));
    list = later;
    BOOST_TEST(distribute(20).contains("s2"));
}

BOOST_AUTO_TEST_CASE(chosenServerReportsTheOriginOfThePrompt)
{
    BOOST_TEST((startRequest()->prompt == prompt_origin::None));
    const auto first = startRequest(7);
    BOOST_TEST((first->prompt == prompt_origin::Read));
    balancer.retain(list);
    std::size_t held = 0;
    std::optional<chosen_server> next = startRequest(7);
    for (; next->server.id == first->server.id; next = startRequest(7)) {
        BOOST_TEST((next->prompt == prompt_origin::Held));
        BOOST_TEST(next->cacheSource.empty());
        BOOST_REQUIRE(++held < 100U);
    }
    BOOST_TEST(held > 0U);
    BOOST_TEST((next->prompt == prompt_origin::Copied));
    BOOST_TEST(next->cacheSource == first->server.address);
}

// Unless the fleet shares its directory of prompts, the primary holder is the source, whatever the zones.
BOOST_AUTO_TEST_CASE(primaryHolderIsTheSourceIfNotContended)
{
    constexpr std::uint64_t affinity = 77;
    list.servers.at(server_id { "s0" }).zone = zone_id { "zb" };
    balancer.retain(list);
    const auto startAt = [&](const std::string& server) {
        const std::set<server_id> allowed { server_id { server } };
        return balancer.startRequest(list, { .service = service_id { "model" }, .affinity = affinity, .tieBreak = tie++, .zone = zone_id { "za" }, .allowed = &allowed, .fleet = &fleet });
    };
    startAt("s0");
    startAt("s1");
    BOOST_TEST(startAt("s2")->cacheSource == "s0:1");
}

BOOST_AUTO_TEST_SUITE_END()
