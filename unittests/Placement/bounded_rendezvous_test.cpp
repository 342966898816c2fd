// Tests the guarantees of the ranking: minimal movement of chats, shares by weight, the ramp, and the same ranking on
// every host.
#include "radishflow/Placement/bounded_rendezvous.h"
#include "radishflow/Placement/placement_policy.h"

#include "placement_fixture.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cmath>

using namespace radishflow;
namespace data = boost::unit_test::data;

static_assert(placement_policy<bounded_rendezvous>);

static const server_id& firstRankOf(std::uint64_t chat, const std::vector<placement_server>& servers)
{
    return servers[bounded_rendezvous {}.rank(makeRequest(chat), servers, 1).front()].id;
}

BOOST_DATA_TEST_CASE(removalMovesOnlyChatsOfRemovedServer, data::make({ 2, 12, 20, 100, 1300 }), size)
{
    const std::vector<placement_server> servers = makeServers(static_cast<std::size_t>(size));
    std::vector<placement_server> fewer = servers;
    const server_id removed = fewer[fewer.size() / 2].id;
    fewer.erase(fewer.begin() + size / 2);
    for (std::uint64_t chat = 0; chat < 2000; ++chat) {
        const server_id& before = firstRankOf(chat, servers);
        const server_id& after = firstRankOf(chat, fewer);
        if (before == removed) {
            const auto next = bounded_rendezvous {}.rank(makeRequest(chat), servers, 2)[1];
            BOOST_TEST(after.value() == servers[next].id.value());
            continue;
        }
        BOOST_TEST(after.value() == before.value());
    }
}

BOOST_DATA_TEST_CASE(leavingServerRanksLikeRemovedServer, data::make({ 2, 12, 100 }), size)
{
    std::vector<placement_server> servers = makeServers(static_cast<std::size_t>(size));
    servers.front().acceptsRequests = false;
    const std::vector<placement_server> fewer { servers.begin() + 1, servers.end() };
    for (std::uint64_t chat = 0; chat < 500; ++chat)
        BOOST_TEST(firstRankOf(chat, servers).value() == firstRankOf(chat, fewer).value());
}

BOOST_DATA_TEST_CASE(sharesAreProportionalToWeights, data::make({ 0.0, 0.5, 1.0, 2.0, 4.0 }), weight)
{
    std::vector<placement_server> servers = makeServers(10);
    servers.front().weight = weight;
    constexpr int chats = 40000;
    int admitted = 0;
    for (std::uint64_t chat = 0; chat < chats; ++chat)
        admitted += firstRankOf(chat, servers) == servers.front().id ? 1 : 0;
    const double expected = chats * weight / (9 + weight);
    // Four standard deviations of a binomial count.
    BOOST_TEST(std::abs(admitted - expected) <= 4 * std::sqrt(expected));
}

BOOST_AUTO_TEST_CASE(higherRampOnlyAddsChats)
{
    std::vector<placement_server> servers = makeServers(20);
    const server_id returning = servers[7].id;
    for (std::uint64_t chat = 0; chat < 4000; ++chat) {
        servers[7].ramp = 1;
        const bool ranksFirst = firstRankOf(chat, servers) == returning;
        bool admitted = false;
        for (const double ramp : { 0.0, 0.1, 0.35, 0.7, 1.0 }) {
            servers[7].ramp = ramp;
            const bool admits = firstRankOf(chat, servers) == returning;
            BOOST_TEST((admits || !admitted));
            BOOST_TEST((ranksFirst || !admits));
            admitted = admits;
        }
        BOOST_TEST(admitted == ranksFirst);
    }
}

BOOST_DATA_TEST_CASE(rampAdmitsItsShareOfChats, data::make({ 0.0, 0.25, 0.5, 0.9 }), ramp)
{
    std::vector<placement_server> servers = makeServers(4);
    constexpr int chats = 20000;
    servers.front().ramp = ramp;
    int admitted = 0;
    for (std::uint64_t chat = 0; chat < chats; ++chat)
        admitted += firstRankOf(chat, servers) == servers.front().id ? 1 : 0;
    BOOST_TEST(std::abs(admitted - ramp * chats / 4) <= 4 * std::sqrt(chats / 4.0));
}

BOOST_AUTO_TEST_CASE(rankingDoesNotDependOnServerOrder)
{
    const std::vector<placement_server> servers = makeServers(100);
    const std::vector<placement_server> reversed { servers.rbegin(), servers.rend() };
    for (std::uint64_t chat = 0; chat < 500; ++chat) {
        const auto ranking = bounded_rendezvous {}.rank(makeRequest(chat), servers, 6);
        const auto other = bounded_rendezvous {}.rank(makeRequest(chat), reversed, 6);
        BOOST_REQUIRE(ranking.size() == other.size());
        for (std::size_t i = 0; i < ranking.size(); ++i)
            BOOST_TEST(ranking[i] == servers.size() - 1 - other[i]);
    }
}

// The expected ranks are literal because daemons of different versions must agree on them.
BOOST_AUTO_TEST_CASE(rankIsTheSameOnEveryHost)
{
    const auto ranking = bounded_rendezvous {}.rank(makeRequest(1), makeServers(20), 4);
    const std::vector<std::uint32_t> expected { 1, 11, 9, 3 };
    BOOST_TEST(std::vector<std::uint32_t>(ranking.begin(), ranking.end()) == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(otherRegionsAreUsedOnlyWhenOwnRegionHasNone)
{
    std::vector<placement_server> servers = makeServers(6);
    for (std::size_t i = 3; i < 6; ++i)
        servers[i].region = region_id { "rb" };
    const bounded_rendezvous policy { { .remoteRanks = 0 } };
    auto ranking = policy.rank(makeRequest(1), servers, 6);
    BOOST_TEST(ranking.size() == 3U);
    BOOST_TEST(std::all_of(ranking.begin(), ranking.end(), [](std::uint32_t index) { return index < 3; }));
    for (std::size_t i = 0; i < 3; ++i)
        servers[i].acceptsRequests = false;
    ranking = policy.rank(makeRequest(1), servers, 6);
    BOOST_TEST(ranking.size() == 3U);
    BOOST_TEST(std::all_of(ranking.begin(), ranking.end(), [](std::uint32_t index) { return index >= 3; }));
}

BOOST_DATA_TEST_CASE(otherRegionsComeLast, data::make({ 1, 4, 5, 8 }), maxCount)
{
    std::vector<placement_server> servers = makeServers(20);
    for (std::size_t i = 10; i < 20; ++i)
        servers[i].region = region_id { "rb" };
    const auto ranking = bounded_rendezvous {}.rank(makeRequest(1), servers, static_cast<std::size_t>(maxCount));
    BOOST_REQUIRE(ranking.size() == static_cast<std::size_t>(maxCount));
    const std::size_t localCount = maxCount > 4 ? ranking.size() - 2 : ranking.size();
    for (std::size_t i = 0; i < ranking.size(); ++i)
        BOOST_TEST((ranking[i] < 10) == (i < localCount));
}

BOOST_AUTO_TEST_CASE(tailOfRepeatedChatCoversTheFleet)
{
    const std::vector<placement_server> servers = makeServers(100);
    placement_request request = makeRequest(3);
    const auto first = bounded_rendezvous {}.rank(request, servers, 6);
    std::vector<bool> isUsed(servers.size());
    for (request.tailSeed = 1; request.tailSeed <= 500; ++request.tailSeed) {
        const auto ranking = bounded_rendezvous {}.rank(request, servers, 6);
        BOOST_REQUIRE(ranking.size() == 6U);
        BOOST_TEST(ranking[0] == first[0]);
        BOOST_TEST(ranking[1] == first[1]);
        BOOST_TEST(std::count(ranking.begin(), ranking.end(), first[0]) == 1);
        for (const std::uint32_t index : ranking)
            isUsed[index] = true;
    }
    BOOST_TEST(std::count(isUsed.begin(), isUsed.end(), true) == 100);
}

BOOST_AUTO_TEST_CASE(affinityRanksIgnoreLoadAndTailPrefersLessLoaded)
{
    std::vector<placement_server> servers = makeServers(40);
    const auto idle = bounded_rendezvous {}.rank(makeRequest(5), servers, 6);
    for (std::uint32_t index : { idle[0], idle[1], idle[2] })
        servers[index].knownLoad = 1;
    const auto loaded = bounded_rendezvous {}.rank(makeRequest(5), servers, 6);
    BOOST_TEST(loaded[0] == idle[0]);
    BOOST_TEST(loaded[1] == idle[1]);
    BOOST_TEST((loaded[2] != idle[2]));
}
