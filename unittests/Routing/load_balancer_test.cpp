// Tests the load and health that a daemon keeps of backend servers.
#include "radishflow/Routing/load_balancer.h"
#include "radishflow/Support/manual_clock.h"

#include "test_servers.h"

#include <boost/test/unit_test.hpp>

#include <map>

using namespace radishflow;
using namespace std::chrono_literals;

namespace {

struct ledger_fixture {
    manual_clock clock;
    load_balancer<manual_clock> balancer { clock };
    server_list list = testServers(4);
    fleet_view fleet = testFleet(3);
    std::uint64_t tie = 0;

    std::optional<chosen_server> begin(std::uint64_t affinity = 0, double coldRate = 0)
    {
        return balancer.startRequest(list, { .service = service_id { "model" }, .affinity = affinity, .tieBreak = tie++, .zone = zone_id { "za" }, .coldRequestsPerSecond = coldRate, .fleet = &fleet });
    }

    // A request that ends at once.
    void run(const std::string& server, server_outcome outcome)
    {
        const std::vector<server_id> others = allBut(server);
        const auto chosen = balancer.startRequest(list, { .service = service_id { "model" }, .zone = zone_id { "za" }, .excluded = others, .fleet = &fleet });
        BOOST_REQUIRE(chosen->server.id.value() == server);
        balancer.finishRequest(chosen->server.id, outcome);
    }

    std::vector<server_id> allBut(const std::string& server) const
    {
        std::vector<server_id> others;
        for (const auto& [id, each] : list.servers) {
            if (id.value() != server)
                others.push_back(id);
        }
        return others;
    }

    std::map<std::string, int> spread(int requests)
    {
        std::map<std::string, int> counts;
        for (int request = 0; request < requests; ++request)
            ++counts[begin()->server.id.value()];
        return counts;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ServerLedger, ledger_fixture)

BOOST_AUTO_TEST_CASE(requestsSpreadEvenly)
{
    for (const auto& [server, count] : spread(40))
        BOOST_TEST(count == 10);
}

BOOST_AUTO_TEST_CASE(reportsShowTheLoadOfOtherDaemons)
{
    balancer.recordLoadReport(server_id { "s0" }, { .running = 30, .waiting = 2, .slots = 64 });
    for (const std::string name : { "s1", "s2", "s3" })
        balancer.recordLoadReport(server_id { name }, { .running = 1, .waiting = 0, .slots = 64 });
    BOOST_TEST(!spread(30).contains("s0"));
    clock.advance(10s);
    BOOST_TEST(spread(30).contains("s0"));
}

// In a large fleet, one request of this daemon says little of a server's load: the prompt's home stays its home.
BOOST_AUTO_TEST_CASE(homeIsKeptWhereNoReportSaysThatItIsLoaded)
{
    fleet = testFleet(68);
    list = testServers(90);
    for (int request = 0; request < 40; ++request)
        begin(1000 + request);
    const std::string home = begin(7)->server.id.value();
    for (int request = 0; request < 2; ++request)
        BOOST_TEST(begin(7)->server.id.value() == home);
    balancer.recordLoadReport(server_id { home }, { .running = 200, .waiting = 0, .slots = 64 });
    BOOST_TEST(begin(7)->server.id.value() != home);
}

BOOST_AUTO_TEST_CASE(daemonsTellEachOtherWhatServersReported)
{
    balancer.retain(list);
    balancer.recordLoadReport(server_id { "s0" }, { .running = 30, .waiting = 2, .slots = 64 });
    const std::vector<shared_load> told = balancer.takeLoadUpdates();
    BOOST_REQUIRE(told.size() == 1U);
    BOOST_TEST(told.front().requests == 32);
    BOOST_TEST(balancer.takeLoadUpdates().empty());
    load_balancer<manual_clock> other { clock };
    other.retain(list);
    other.recordPeerLoads(told);
    other.recordPeerLoads({ { .server = 12345, .requests = 5 } });
    for (int request = 0; request < 20; ++request)
        BOOST_TEST(other.startRequest(list, { .service = service_id { "model" }, .tieBreak = tie++, .zone = zone_id { "za" }, .fleet = &fleet })->server.id.value() != "s0");
    BOOST_TEST(other.takeLoadUpdates().empty());
}

BOOST_AUTO_TEST_CASE(failingServersAreEjectedForATime)
{
    for (int failure = 0; failure < 2; ++failure)
        run("s2", server_outcome::Failed);
    BOOST_TEST(!spread(20).contains("s2"));
    clock.advance(3s);
    BOOST_TEST(spread(20).contains("s2"));
}

BOOST_AUTO_TEST_CASE(fewFailuresAmongManySuccessesEjectNobody)
{
    for (int request = 0; request < 20; ++request)
        run("s2", request % 5 == 4 ? server_outcome::Failed : server_outcome::Served);
    BOOST_TEST(spread(8).contains("s2"));
}

// A server that fails as the whole service does is not worse than the others.
BOOST_AUTO_TEST_CASE(failuresOfAWholeServiceEjectNobody)
{
    for (int request = 0; request < 40; ++request) {
        run("s" + std::to_string(request % 4), request % 8 < 4 ? server_outcome::Failed : server_outcome::Served);
        clock.advance(100ms);
    }
    BOOST_TEST(spread(40).size() == 4U);
}

BOOST_AUTO_TEST_CASE(ejectionNeverLeavesAMinority)
{
    for (const std::string name : { "s0", "s1", "s2" }) {
        for (int failure = 0; failure < 2; ++failure)
            run(name, server_outcome::Failed);
    }
    BOOST_TEST(spread(40).size() > 1U);
}

BOOST_AUTO_TEST_CASE(unreachableServersAreTriedLessAndLess)
{
    run("s1", server_outcome::Unreachable);
    clock.advance(900ms);
    run("s1", server_outcome::Unreachable);
    clock.advance(900ms);
    BOOST_TEST(!spread(20).contains("s1"));
    clock.advance(800ms);
    BOOST_TEST(spread(40).contains("s1"));
}

BOOST_AUTO_TEST_CASE(whereAllFailSomeoneIsStillTried)
{
    for (const std::string name : { "s0", "s1", "s2", "s3" })
        run(name, server_outcome::Unreachable);
    BOOST_TEST(begin().has_value());
}

BOOST_AUTO_TEST_CASE(drainingServersAndZonesThatAreOutGetNothing)
{
    list.servers.at(server_id { "s1" }).isDraining = true;
    list.servers.at(server_id { "s2" }).zone = zone_id { "out" };
    list.zonesOut.insert(zone_id { "out" });
    const auto counts = spread(20);
    BOOST_TEST(!counts.contains("s1"));
    BOOST_TEST(!counts.contains("s2"));
}

BOOST_AUTO_TEST_CASE(coldServersGetTheirShareOnly)
{
    for (auto& [id, server] : list.servers)
        server.coldUntil = clock.now() + 5s;
    int started = 0;
    while (begin(0, 10).has_value())
        ++started;
    BOOST_TEST(started == 4);
    clock.advance(1s);
    BOOST_TEST(begin(0, 10).has_value());
}

BOOST_AUTO_TEST_CASE(serverThatStartsAgainIsNotJudgedByItsPast)
{
    balancer.retain(list);
    for (int failure = 0; failure < 4; ++failure)
        run("s2", server_outcome::Failed);
    list.servers.at(server_id { "s2" }).processStartMs = 5;
    balancer.retain(list);
    BOOST_TEST(spread(20).contains("s2"));
}

BOOST_AUTO_TEST_CASE(originOfThePromptIsTold)
{
    BOOST_TEST((begin()->prompt == prompt_origin::None));
    const auto first = begin(7);
    BOOST_TEST((first->prompt == prompt_origin::Read));
    balancer.retain(list);
    std::size_t held = 0;
    std::optional<chosen_server> next = begin(7);
    for (; next->server.id == first->server.id; next = begin(7)) {
        BOOST_TEST((next->prompt == prompt_origin::Held));
        BOOST_TEST(next->cacheSource.empty());
        BOOST_REQUIRE(++held < 100U);
    }
    BOOST_TEST(held > 0U);
    BOOST_TEST((next->prompt == prompt_origin::Copied));
    BOOST_TEST(next->cacheSource == first->server.address);
}

BOOST_AUTO_TEST_SUITE_END()
