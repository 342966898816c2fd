// Tests the choice of a backend server under even load, uneven load and a hot prompt.
#include "radishflow/Routing/choose_server.h"
#include "radishflow/Routing/server_rank.h"

#include "test_servers.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <ostream>
#include <vector>

using namespace radishflow;

namespace {

struct loaded_fleet {
    std::vector<listed_server> servers;
    std::vector<server_candidate> candidates;

    explicit loaded_fleet(int count)
    {
        for (int number = 0; number < count; ++number)
            servers.push_back(testServer(number));
        for (const listed_server& server : servers)
            candidates.push_back({ .server = &server });
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(noCandidatesGiveNoServer)
{
    BOOST_TEST(!chooseServer({}, 0, 1, 1).has_value());
}

BOOST_DATA_TEST_CASE(requestsWithTheSamePromptGoToTheSameServer, boost::unit_test::data::make({ 2, 18, 90 }), count)
{
    loaded_fleet fleet { count };
    for (std::uint64_t prompt = 1; prompt < 50; ++prompt) {
        const auto first = chooseServer(fleet.candidates, fleet.candidates.size(), prompt, 1);
        std::reverse(fleet.candidates.begin(), fleet.candidates.end());
        const auto second = chooseServer(fleet.candidates, fleet.candidates.size(), prompt, 7);
        BOOST_TEST(*first == fleet.candidates.size() - 1 - *second);
        std::reverse(fleet.candidates.begin(), fleet.candidates.end());
    }
}

// Guards against overloading the server of a hot prompt: half of the requests have the same prompt, and no server may
// exceed the load bound.
BOOST_DATA_TEST_CASE(hotPromptSpillsToOtherServersAtTheLoadBound, boost::unit_test::data::make({ 4, 18 }), count)
{
    const choose_server_options options;
    loaded_fleet fleet { count };
    const int requests = 20 * count;
    for (int request = 0; request < requests; ++request) {
        const std::uint64_t prompt = request % 2 == 0 ? 1 : static_cast<std::uint64_t>(request);
        ++fleet.candidates[*chooseServer(fleet.candidates, fleet.candidates.size(), prompt, static_cast<std::uint64_t>(request), options)].load;
    }
    const double mean = static_cast<double>(requests) / count;
    for (const server_candidate& candidate : fleet.candidates)
        BOOST_TEST(candidate.load <= options.ranked.maxMultiple * mean + options.ranked.maxSlack + 1);
}

// When an availability zone is out of service, the servers of the other zones are further above the mean load of the
// whole service. The bound must use that mean, not the mean of the candidates.
BOOST_AUTO_TEST_CASE(loadBoundCountsServersThatAcceptNoRequests)
{
    constexpr std::size_t serversOfService = 12;
    loaded_fleet fleet { 8 };
    for (server_candidate& candidate : fleet.candidates)
        candidate.load = 6;
    const auto countChoices = [&](std::size_t servers, std::size_t expected) {
        int count = 0;
        for (std::uint64_t tieBreak = 0; tieBreak < 100; ++tieBreak)
            count += *chooseServer(fleet.candidates, servers, 5, tieBreak) == expected ? 1 : 0;
        return count;
    };
    const auto hasLowerRank = [](const listed_server& left, const listed_server& right) { return rankOf(left, 5) < rankOf(right, 5); };
    const auto firstRanked = static_cast<std::size_t>(std::max_element(fleet.servers.begin(), fleet.servers.end(), hasLowerRank) - fleet.servers.begin());
    fleet.candidates[firstRanked].load = 10;
    BOOST_TEST(countChoices(fleet.candidates.size(), firstRanked) > 0);
    BOOST_TEST(countChoices(serversOfService, firstRanked) == 0);
}

// A report states the load after a request has begun, so reports of equally loaded servers exceed their average load by one.
BOOST_AUTO_TEST_CASE(meanOfLoadReportsExcludesTheRequestsThatBroughtThem)
{
    loaded_fleet fleet { 4 };
    for (server_candidate& candidate : fleet.candidates)
        candidate.load = 5;
    BOOST_TEST(meanLoadOf(fleet.candidates, 4) == 5);
    for (server_candidate& candidate : fleet.candidates)
        candidate.reportAge = std::chrono::milliseconds { 100 };
    BOOST_TEST(meanLoadOf(fleet.candidates, 4) == 4);
    BOOST_TEST(meanLoadOf(fleet.candidates, 8) == 2);
    fleet.candidates[0].load = 0;
    BOOST_TEST(meanLoadOf(fleet.candidates, 4) == 3);
}

BOOST_AUTO_TEST_CASE(requestWithoutAffinityGoesToTheLeastLoadedServerInTheLocalZone)
{
    loaded_fleet fleet { 3 };
    fleet.candidates[0].load = 2;
    fleet.candidates[1].load = 1;
    fleet.candidates[2].load = 1;
    fleet.candidates[2].isLocalZone = true;
    for (std::uint64_t tie = 0; tie < 5; ++tie)
        BOOST_TEST(*chooseServer(fleet.candidates, fleet.candidates.size(), 0, tie) == 2U);
}

BOOST_AUTO_TEST_CASE(joiningServerMovesOnlyPromptsToItself)
{
    loaded_fleet before { 18 };
    loaded_fleet after { 19 };
    int moved = 0;
    constexpr int prompts = 2000;
    for (std::uint64_t prompt = 1; prompt <= prompts; ++prompt) {
        const std::size_t chosen = *chooseServer(after.candidates, after.candidates.size(), prompt, 0);
        const bool stays = chosen == *chooseServer(before.candidates, before.candidates.size(), prompt, 0);
        BOOST_TEST((stays || chosen == 18U));
        moved += stays ? 0 : 1;
    }
    BOOST_TEST(moved < 2 * prompts / 19);
}

// The primary holder of a prompt is preferred to the first-ranked server, then the secondary holder: for all requests at low
// load, for a falling share of them up to the holders' load bound, and for none above it.
BOOST_AUTO_TEST_CASE(holdersArePreferredUpToTheirLoadBound)
{
    const load_range range = choose_server_options {}.holder;
    constexpr double mean = 4;
    constexpr int requests = 400;
    loaded_fleet fleet { 18 };
    const std::size_t primary = 3;
    const std::size_t secondary = 11;
    // The other servers compensate, so that the mean stays.
    const auto primaryShare = [&](double load) {
        for (server_candidate& candidate : fleet.candidates)
            candidate.load = (18 * mean - load) / 17;
        fleet.candidates[primary].load = load;
        int atPrimary = 0;
        for (std::uint64_t request = 0; request < requests; ++request) {
            const std::size_t chosen = *chooseServer(fleet.candidates, 18, 5, request, {}, std::vector<std::size_t> { primary, secondary });
            BOOST_TEST((chosen == primary || chosen == secondary));
            atPrimary += chosen == primary ? 1 : 0;
        }
        return static_cast<double>(atPrimary) / requests;
    };
    const double full = range.fullMultiple * mean + range.fullSlack;
    const double max = range.maxMultiple * mean + range.maxSlack;

    BOOST_TEST(primaryShare(full) == 1);
    BOOST_TEST(primaryShare((full + max) / 2) == 0.5, boost::test_tools::tolerance(0.2));
    BOOST_TEST(primaryShare(max + 0.1) == 0);
    for (server_candidate& candidate : fleet.candidates)
        candidate.load = mean;
    fleet.candidates[primary].load = fleet.candidates[secondary].load = 30;
    for (std::uint64_t request = 0; request < requests; ++request) {
        const std::size_t chosen = *chooseServer(fleet.candidates, 18, 5, request, {}, std::vector<std::size_t> { primary, secondary });
        BOOST_TEST((chosen != primary && chosen != secondary));
    }
}

namespace {

struct placement_case {
    const char* name;
    choose_server_options options;
    std::size_t maxAtOneServer; ///< Of 100 requests that are placed by the same loads.

    friend std::ostream& operator<<(std::ostream& out, const placement_case& test) { return out << test.name; }
};

// No server accepts by rank, as all have more than the mean allows; one reports fewest requests.
const placement_case placements[] {
    { "the least loaded of all", {}, 100 },
    { "the least loaded of three", { .sampleSize = 3 }, 30 },
};

} // namespace

BOOST_DATA_TEST_CASE(requestsThatNoServerAcceptsAreSpread, boost::unit_test::data::make(placements), test)
{
    loaded_fleet fleet { 30 };
    for (server_candidate& candidate : fleet.candidates)
        candidate.load = 20;
    fleet.candidates[7].load = 18;
    std::vector<std::size_t> requests(fleet.candidates.size());
    for (std::uint64_t request = 0; request < 100; ++request) {
        // Further servers that accept nothing lower the mean.
        const auto chosen = chooseServer(fleet.candidates, 1000, request * 2 + 1, request, test.options);
        BOOST_REQUIRE(chosen.has_value());
        ++requests[*chosen];
    }
    BOOST_TEST(*std::max_element(requests.begin(), requests.end()) <= test.maxAtOneServer);
}

BOOST_AUTO_TEST_CASE(newPromptGoesToTheLessLoadedOfTwoRanks)
{
    loaded_fleet fleet { 10 };
    constexpr std::uint64_t affinity = 77;
    const auto first = chooseServer(fleet.candidates, 10, affinity, 1);
    BOOST_REQUIRE(first.has_value());
    fleet.candidates[*first].load = 0.9;
    BOOST_TEST((chooseServer(fleet.candidates, 10, affinity, 1) == first));
    const auto second = chooseServer(fleet.candidates, 10, affinity, 1, { .choosesOfTwo = true });
    BOOST_REQUIRE(second.has_value());
    BOOST_TEST(*second != *first);
    fleet.candidates[*second].load = 0.95;
    BOOST_TEST((chooseServer(fleet.candidates, 10, affinity, 1, { .choosesOfTwo = true }) == first));
}
