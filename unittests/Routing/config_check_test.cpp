// Tests the check of a configuration before it is sent.
#include "radishflow/Routing/config_check.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <functional>
#include <ostream>
#include <string>
#include <vector>

using namespace radishflow;
using namespace std::chrono_literals;

namespace {

route testRoute(const std::string& name, const std::string& prefix, const std::string& service = "svc")
{
    return { .name = name, .host = "h", .prefix = prefix, .kind = work_kind::Idempotent, .timeout = 800ms, .objective = 300ms, .attempts = 2, .targets = { { .service = service_id { service } } } };
}

routing_config soundConfig()
{
    return {
        .version = config_version { 4 },
        .routes = { testRoute("read", "/read/"), testRoute("read-one", "/read/one/") },
        .services = { { .id = service_id { "svc" } } },
        .workspaces = { { .id = workspace_id { "w" }, .keys = { "k1", "k2" } } },
        .limits = {},
    };
}

struct check_case {
    const char* name;
    std::function<void(routing_config&)> change;
    std::vector<finding_kind> findings;

    friend std::ostream& operator<<(std::ostream& out, const check_case& test) { return out << test.name; }
};

const std::vector<check_case> checks {
    { "sound", [](routing_config&) {}, {} },
    { "no route", [](routing_config& config) { config.routes.clear(); }, { finding_kind::Error, finding_kind::Unreachable } },
    { "unknown service", [](routing_config& config) { config.routes.push_back(testRoute("x", "/x/", "lost")); }, { finding_kind::Error } },
    { "the same prefix twice", [](routing_config& config) { config.routes.push_back(testRoute("x", "/read/")); }, { finding_kind::Unreachable } },
    { "a prefix without a slash", [](routing_config& config) { config.routes.push_back(testRoute("x", "/x")); }, { finding_kind::Error } },
    { "an unused service", [](routing_config& config) { config.services.push_back({ .id = service_id { "idle" } }); }, { finding_kind::Unreachable } },
    { "a target without weight", [](routing_config& config) { config.routes[0].targets = { { service_id { "svc" }, 1 }, { service_id { "svc" }, 0 } }; }, { finding_kind::Unreachable } },
    { "an objective beyond the timeout", [](routing_config& config) { config.routes[0].objective = 900ms; }, { finding_kind::Contradiction } },
    { "attempts of orders", [](routing_config& config) { config.routes[0].kind = work_kind::NonIdempotent; }, { finding_kind::Contradiction } },
    { "a stream that is resumed at one attempt", [](routing_config& config) { config.routes[0].kind = work_kind::Stream, config.routes[0].isResumable = true, config.routes[0].attempts = 1; }, { finding_kind::Contradiction } },
    { "a key of two workspaces", [](routing_config& config) { config.workspaces.push_back({ .id = workspace_id { "v" }, .keys = { "k1" } }); }, { finding_kind::Error } },
    { "no key at all", [](routing_config& config) { config.workspaces[0].keys.clear(); }, { finding_kind::Unreachable, finding_kind::Unreachable, finding_kind::Unreachable } },
    { "public routes without a key", [](routing_config& config) { config.routes[0].isPublic = config.routes[1].isPublic = true, config.workspaces[0].keys.clear(); }, { finding_kind::Unreachable } },
    { "heads that take longer than idling", [](routing_config& config) { config.limits.headTimeout = 20s; }, { finding_kind::Contradiction } },
    { "no time to send a head", [](routing_config& config) { config.limits.headTimeout = 0ms; }, { finding_kind::Error } },
};

struct change_case {
    const char* name;
    std::function<void(routing_config&)> change;
    std::vector<std::string> lines;

    friend std::ostream& operator<<(std::ostream& out, const change_case& test) { return out << test.name; }
};

const std::vector<change_case> changes {
    { "only the version", [](routing_config&) {}, {} },
    { "an old version", [](routing_config& config) { config.version = config_version { 4 }; }, { "version 4 is not above 4, so daemons ignore it" } },
    { "routes", [](routing_config& config) { config.routes = { testRoute("read", "/read/"), testRoute("new", "/new/") }; config.routes[0].timeout = 900ms, config.routes[0].priority = 3; }, { "removed route read-one", "added route new", "changed route read: timeout_ms 800 -> 900, priority 0 -> 3" } },
    { "a service", [](routing_config& config) { config.services[0].connectionLimit = 7; }, { "changed service svc: connection_limit 0 -> 7" } },
    { "keys", [](routing_config& config) { config.workspaces[0].keys = { "k2", "k3", "k4" }; }, { "changed workspace w: 2 keys added, 1 taken away" } },
    { "limits", [](routing_config& config) { config.limits.bodyBytes = 5; }, { "changed limits: body_bytes 4194304 -> 5" } },
};

} // namespace

BOOST_DATA_TEST_CASE(findingsAreListed, boost::unit_test::data::make(checks), test)
{
    routing_config config = soundConfig();
    test.change(config);
    const auto findings = checkConfig(config);
    BOOST_REQUIRE(findings.size() == test.findings.size());
    for (std::size_t index = 0; index < findings.size(); ++index)
        BOOST_TEST((findings[index].kind == test.findings[index]));
}

BOOST_DATA_TEST_CASE(changesAreListed, boost::unit_test::data::make(changes), test)
{
    const routing_config inForce = soundConfig();
    routing_config candidate = soundConfig();
    candidate.version = config_version { 5 };
    test.change(candidate);
    std::vector<std::string> lines = describeChanges(inForce, candidate);
    std::vector<std::string> expected = test.lines;
    std::sort(lines.begin(), lines.end());
    std::sort(expected.begin(), expected.end());
    BOOST_TEST((lines == expected));
}
