// Tests the lookup of routes, workspaces and weighted targets for requests.
#include "radishflow/Routing/route_table.h"
#include "radishflow/Support/hashing.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>

using namespace radishflow;

static routing_config configWithTwoHosts()
{
    return {
        .version = config_version { 3 },
        .routes = {
            { .name = "all", .host = "a.example", .prefix = "/", .targets = { { service_id { "one" } } } },
            { .name = "long", .host = "a.example", .prefix = "/x/y/", .targets = { { service_id { "one" } } } },
            { .name = "short", .host = "a.example", .prefix = "/x/", .targets = { { service_id { "one" } } } },
            { .name = "other", .host = "b.example", .prefix = "/z/", .targets = { { service_id { "two" } } } },
        },
        .workspaces = { { .id = workspace_id { "w" }, .keys = { "k1", "k2" } }, { .id = workspace_id { "v" }, .keys = { "k3" } } },
    };
}

namespace {

struct lookup_case {
    std::string host;
    std::string path;
    std::string route; ///< Empty for none.
};

std::ostream& operator<<(std::ostream& out, const lookup_case& test) { return out << test.host << test.path; }

const lookup_case lookups[] {
    { "a.example", "/x/y/z", "long" },
    { "a.example", "/x/yz", "short" },
    { "a.example", "/x", "all" },
    { "b.example", "/z/1", "other" },
    { "b.example", "/z", "" },
    { "c.example", "/x/y/", "" },
};

} // namespace

BOOST_DATA_TEST_CASE(routeWithTheLongestMatchingPrefixIsFound, boost::unit_test::data::make(lookups), test)
{
    const route_table table { configWithTwoHosts() };
    const route* found = table.find(test.host, test.path);
    BOOST_TEST((found ? found->name : "") == test.route);
}

BOOST_AUTO_TEST_CASE(keyIsMappedToItsWorkspace)
{
    const route_table table { configWithTwoHosts() };
    BOOST_TEST(table.workspaceOf("k2")->id.value() == "w");
    BOOST_TEST(table.workspaceOf("k3")->id.value() == "v");
    BOOST_TEST(table.workspaceOf("k") == nullptr);
    BOOST_TEST(table.workspaceOf("") == nullptr);
}

BOOST_AUTO_TEST_CASE(requestsAreSplitByTargetWeight)
{
    const route split { .targets = { { service_id { "one" }, 9 }, { service_id { "two" }, 1 }, { service_id { "none" }, 0 } } };
    int second = 0;
    constexpr int requests = 10000;
    for (int request = 0; request < requests; ++request) {
        const std::string chosen = targetOf(split, stableHash(std::to_string(request))).value();
        BOOST_REQUIRE(chosen != "none");
        second += chosen == "two" ? 1 : 0;
    }
    BOOST_TEST(second > requests / 12);
    BOOST_TEST(second < requests / 8);
}
