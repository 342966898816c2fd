// Tests which servers are listed while removals are deferred, and after the platform's store came back from an old copy.
#include "radishflow/Routing/server_registry.h"
#include "radishflow/Support/manual_clock.h"

#include "test_servers.h"

#include <boost/test/unit_test.hpp>

#include <vector>

using namespace radishflow;
using namespace std::chrono_literals;

namespace {

struct registry_fixture {
    manual_clock clock;
    server_registry<manual_clock> registry { clock };

    registry_fixture()
    {
        for (int number = 0; number < 3; ++number)
            registry.put(testServer(number));
    }

    std::size_t count() { return registry.list()->servers.size(); }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ServerRegistry, registry_fixture)

BOOST_AUTO_TEST_CASE(removalIsAppliedAtOnceWithoutAnOutage)
{
    registry.remove(server_id { "s1" });
    BOOST_TEST(count() == 2U);
    BOOST_TEST(!registry.hasPendingChanges());
}

BOOST_AUTO_TEST_CASE(entriesRemovedInAnOutageAreKeptUntilTheRecoveryGraceEnds)
{
    registry.deferRemovalsUntil(time_point::max());
    clock.advance(20s);
    BOOST_TEST(count() == 3U);
    registry.deferRemovalsUntil(clock.now() + 2s);
    registry.replaceAll({ testServer(0) });
    BOOST_TEST(count() == 3U);
    registry.put(testServer(1));
    clock.advance(1900ms);
    BOOST_TEST(count() == 3U);
    clock.advance(200ms);
    BOOST_TEST(count() == 2U);
    BOOST_TEST(!registry.list()->servers.contains(server_id { "s2" }));
}

BOOST_AUTO_TEST_CASE(removalsAreReportedWhenTheyTakeEffect)
{
    registry.remove(server_id { "s0" });
    registry.deferRemovalsUntil(clock.now() + 2s);
    registry.remove(server_id { "s1" });
    registry.remove(server_id { "s1" });
    std::vector<removal_event> events = registry.takeRemovalEvents();
    BOOST_REQUIRE(events.size() == 2U);
    BOOST_TEST(!events[0].isDeferred);
    BOOST_TEST(events[1].isDeferred);
    clock.advance(2s);
    BOOST_TEST(count() == 1U);
    events = registry.takeRemovalEvents();
    BOOST_REQUIRE(events.size() == 1U);
    BOOST_TEST(!events[0].isDeferred);
    BOOST_TEST((events[0].deferredFor == 2s));
}

BOOST_AUTO_TEST_CASE(oldCopyOfTheListBringsNoLeavingServersBack)
{
    listed_server draining = testServer(1);
    draining.isDraining = true;
    registry.put(draining);
    registry.remove(server_id { "s2" });
    const std::vector<listed_server> oldCopy { testServer(0), testServer(1), testServer(2) };
    registry.replaceAll(oldCopy, true);
    BOOST_TEST(count() == 2U);
    BOOST_TEST(registry.hasPendingChanges());
    BOOST_TEST(registry.list()->servers.at(server_id { "s1" }).isDraining);
    registry.put(testServer(2)); // A server that is alive writes its entry again.
    BOOST_TEST(registry.list()->servers.contains(server_id { "s2" }));
    registry.remove(server_id { "s2" });
    registry.replaceAll(oldCopy, true);
    clock.advance(5s);
    BOOST_TEST(registry.list()->servers.contains(server_id { "s2" })); // Still listed, so it is alive.
    BOOST_TEST(!registry.hasPendingChanges());
    registry.remove(server_id { "s2" });
    registry.replaceAll(oldCopy);
    BOOST_TEST(count() == 3U);
}

// A daemon reads the whole copy again if another one that has read it later has no changes since.
BOOST_AUTO_TEST_CASE(oldCopyThatIsReadAgainBringsNoLeavingServersBack)
{
    constexpr std::uint64_t revision = 5;
    const auto entry = [](int number, std::uint64_t ofRevision) {
        listed_server server = testServer(number);
        server.revision = ofRevision;
        return server;
    };
    const auto isReady = [&](int number) {
        const auto list = registry.list();
        const auto server = list->servers.find(testServer(number).id);
        return server != list->servers.end() && !server->second.isDraining;
    };
    listed_server draining = entry(1, 2 * revision);
    draining.isDraining = true;
    registry.put(draining);
    registry.remove(server_id { "s2" });
    const std::vector<listed_server> oldCopy { entry(0, revision), entry(1, revision), entry(2, revision) };
    registry.replaceAll(oldCopy, true);
    for (int reading = 0; reading < 2; ++reading) {
        clock.advance(1s);
        registry.replaceAll(oldCopy);
        BOOST_TEST(isReady(0));
        BOOST_TEST(!isReady(1));
        BOOST_TEST(!isReady(2));
    }
    registry.replaceAll({ entry(0, revision), entry(1, 3 * revision) });
    BOOST_TEST(isReady(1)); // It has written its entry again.
    clock.advance(5s);
    BOOST_TEST(!isReady(2)); // Its entry lapsed.
    BOOST_TEST(!registry.hasPendingChanges());
}

BOOST_AUTO_TEST_CASE(oldCopyOfTheListDoesNotCancelADeferredRemoval)
{
    registry.deferRemovalsUntil(clock.now() + 2s);
    registry.remove(server_id { "s2" });
    registry.replaceAll({ testServer(0), testServer(1), testServer(2) }, true);
    BOOST_TEST(count() == 3U);
    clock.advance(2s);
    BOOST_TEST(count() == 2U);
    clock.advance(3s);
    BOOST_TEST(count() == 3U); // Still listed after the rewrite time, so it is alive.
    BOOST_TEST(!registry.hasPendingChanges());
}

BOOST_AUTO_TEST_CASE(drainingIsAppliedWithinTheRecoveryGrace)
{
    registry.deferRemovalsUntil(clock.now() + 2s);
    listed_server draining = testServer(1);
    draining.isDraining = true;
    registry.put(draining);
    BOOST_TEST(registry.list()->eligible(service_id { "model" }).size() == 2U);
}

BOOST_AUTO_TEST_CASE(renewedServerKeepsItsListingTimeUnlessItsProcessRestarted)
{
    const time_point listed = registry.list()->servers.at(server_id { "s0" }).listedAt;
    clock.advance(30s);
    registry.put(testServer(0));
    BOOST_TEST((registry.list()->servers.at(server_id { "s0" }).listedAt == listed));
    listed_server restarted = testServer(0);
    restarted.processStartMs = 9;
    registry.put(restarted);
    BOOST_TEST((registry.list()->servers.at(server_id { "s0" }).listedAt == clock.now()));
}

BOOST_AUTO_TEST_SUITE_END()
