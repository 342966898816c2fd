// Tests from which server a prompt is copied after it moved to another server.
#include "radishflow/Routing/cache_source.h"
#include "radishflow/Routing/server_rank.h"

#include "test_servers.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <ostream>
#include <vector>

using namespace radishflow;
using namespace std::chrono_literals;

namespace {

constexpr time_point start { 1h };

/// Rank and age of the chosen server, age of the first-ranked server, and the expected source.
struct prompt_move_case {
    const char* name;
    std::size_t chosenRank; ///< 0 is the first-ranked server.
    duration firstRankedAge;
    duration chosenAge;
    int sourceRank; ///< Rank of the expected source; -1 for none.
};

std::ostream& operator<<(std::ostream& out, const prompt_move_case& test) { return out << test.name; }

const prompt_move_case promptMoves[] {
    { "first-ranked server needs no source", 0, 60s, 60s, -1 },
    { "spilled prompt is copied from the first-ranked server", 1, 60s, 60s, 0 },
    { "new first-ranked server copies from the next rank", 0, 5s, 5s, 1 },
    { "first-ranked server needs no source after the takeover time", 0, 30s, 30s, -1 },
    { "older server does not copy from a new first-ranked server", 1, 3s, 60s, -1 },
};

} // namespace

BOOST_DATA_TEST_CASE(movedPromptIsCopiedFromItsPreviousServer, boost::unit_test::data::make(promptMoves), test)
{
    constexpr std::uint64_t affinity = 77;
    std::vector<listed_server> servers;
    servers.reserve(5);
    for (int number = 0; number < 5; ++number)
        servers.push_back(testServer(number));
    std::sort(servers.begin(), servers.end(), [&](const listed_server& left, const listed_server& right) { return rankOf(left, affinity) > rankOf(right, affinity); });
    const time_point now = start + 60s;
    for (listed_server& server : servers)
        server.listedAt = start;
    servers[0].listedAt = now - test.firstRankedAge;
    servers[test.chosenRank].listedAt = now - test.chosenAge;
    std::vector<const listed_server*> listed;
    listed.reserve(servers.size());
    for (const listed_server& server : servers)
        listed.push_back(&server);
    const listed_server* source = cacheSourceFor(listed, servers[test.chosenRank], affinity, now);
    BOOST_TEST((source ? source->id.value() : "") == (test.sourceRank < 0 ? "" : servers[static_cast<std::size_t>(test.sourceRank)].id.value()));
    BOOST_TEST(cacheSourceFor(listed, servers[test.chosenRank], 0, now) == nullptr);
}

// A server that was listed later than the chosen one, such as after its restart, read nothing that daemons which have restarted since sent.
BOOST_AUTO_TEST_CASE(promptOfNoKnownHolderIsNotCopiedFromAYoungerServer)
{
    constexpr std::uint64_t affinity = 77;
    std::vector<listed_server> servers;
    servers.reserve(3);
    for (int number = 0; number < 3; ++number)
        servers.push_back(testServer(number));
    std::sort(servers.begin(), servers.end(), [&](const listed_server& left, const listed_server& right) { return rankOf(left, affinity) > rankOf(right, affinity); });
    for (listed_server& server : servers)
        server.listedAt = start;
    const std::vector<const listed_server*> listed { &servers[0], &servers[1], &servers[2] };
    BOOST_TEST(firstOfOtherRanks(listed, servers[0], affinity) == &servers[1]);
    servers[1].listedAt = start + 30s;
    BOOST_TEST(firstOfOtherRanks(listed, servers[0], affinity) == &servers[2]);
    BOOST_TEST(firstOfOtherRanks(listed, servers[1], affinity) == &servers[0]);
}
