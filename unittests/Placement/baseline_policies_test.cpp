// Tests that the baseline policies rank each server that accepts requests exactly once, and the order that each defines.
#include "radishflow/Placement/hash_ring.h"
#include "radishflow/Placement/least_loaded.h"
#include "radishflow/Placement/placement_policy.h"
#include "radishflow/Placement/random_choice.h"
#include "radishflow/Placement/round_robin.h"

#include "placement_fixture.h"

#include <boost/test/unit_test.hpp>

#include <random>
#include <set>

using namespace radishflow;

using random_type = std::mt19937_64;
static_assert(placement_policy<random_choice<random_type>>);
static_assert(placement_policy<round_robin>);
static_assert(placement_policy<least_loaded<random_type>>);
static_assert(placement_policy<hash_ring>);

template <typename Policy>
static void checkRanksEachAcceptingServerOnce(Policy policy)
{
    std::vector<placement_server> servers = makeServers(6);
    servers[2].acceptsRequests = false;
    servers[4].region = region_id { "rb" };
    const std::set<std::uint32_t> expected { 0, 1, 3, 5 };
    for (std::uint64_t chat = 0; chat < 50; ++chat) {
        const server_ranking ranking = policy.rank(makeRequest(chat), servers, 6);
        BOOST_TEST(ranking.size() == expected.size());
        BOOST_TEST((std::set<std::uint32_t>(ranking.begin(), ranking.end()) == expected));
        BOOST_TEST(policy.rank(makeRequest(chat), servers, 2).size() == 2U);
    }
}

BOOST_AUTO_TEST_CASE(baselinesRankEachAcceptingServerOnce)
{
    random_type random { 3 };
    checkRanksEachAcceptingServerOnce(random_choice<random_type> { random });
    checkRanksEachAcceptingServerOnce(round_robin {});
    checkRanksEachAcceptingServerOnce(least_loaded<random_type> { random });
    checkRanksEachAcceptingServerOnce(hash_ring {});
}

BOOST_AUTO_TEST_CASE(leastLoadedRanksByAscendingKnownLoad)
{
    random_type random { 3 };
    std::vector<placement_server> servers = makeServers(4);
    for (std::uint32_t i = 0; i < 4; ++i)
        servers[i].knownLoad = 4.0 - i;
    const server_ranking ranking = least_loaded<random_type> { random }.rank(makeRequest(1), servers, 4);
    BOOST_TEST((ranking == server_ranking { 3, 2, 1, 0 }));
}

BOOST_AUTO_TEST_CASE(roundRobinCyclesThroughServers)
{
    round_robin policy { 2 };
    const std::vector<placement_server> servers = makeServers(3);
    for (const std::uint32_t expected : { 2U, 0U, 1U, 2U })
        BOOST_TEST(policy.rank(makeRequest(1), servers, 1).front() == expected);
}

BOOST_AUTO_TEST_CASE(hashRingIsDeterministicAndUsesAllServers)
{
    const std::vector<placement_server> servers = makeServers(20);
    std::set<std::uint32_t> used;
    for (std::uint64_t chat = 0; chat < 500; ++chat) {
        const std::uint32_t first = hash_ring {}.rank(makeRequest(chat), servers, 1).front();
        BOOST_TEST(hash_ring {}.rank(makeRequest(chat), servers, 1).front() == first);
        used.insert(first);
    }
    BOOST_TEST(used.size() == 20U);
}
