// Tests which server a moved prompt is copied from.
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

/// Where the chosen server and the others stand.
struct move_case {
    const char* name;
    std::size_t chosenRank; ///< 0 is the home.
    duration homeAge;
    duration chosenAge;
    int sourceRank; ///< -1 for none.
};

std::ostream& operator<<(std::ostream& out, const move_case& each) { return out << each.name; }

const move_case moves[] {
    { "home serves itself", 0, 60s, 60s, -1 },
    { "spill copies from the home", 1, 60s, 60s, 0 },
    { "new home copies from the next", 0, 5s, 5s, 1 },
    { "home is warm after a while", 0, 30s, 30s, -1 },
    { "old server keeps what a new home lacks", 1, 3s, 60s, -1 },
};

} // namespace

BOOST_DATA_TEST_CASE(promptsAreCopiedFromWhereTheyWere, boost::unit_test::data::make(moves), each)
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
    servers[0].listedAt = now - each.homeAge;
    servers[each.chosenRank].listedAt = now - each.chosenAge;
    std::vector<const listed_server*> listed;
    listed.reserve(servers.size());
    for (const listed_server& server : servers)
        listed.push_back(&server);
    const listed_server* source = cacheSourceFor(listed, servers[each.chosenRank], affinity, now);
    BOOST_TEST((source ? source->id.value() : "") == (each.sourceRank < 0 ? "" : servers[static_cast<std::size_t>(each.sourceRank)].id.value()));
    BOOST_TEST(cacheSourceFor(listed, servers[each.chosenRank], 0, now) == nullptr);
}
