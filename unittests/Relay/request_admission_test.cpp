// Tests the admission of requests. While the configuration is not confirmed as current, a request that depends on it must
// get a 503 to retry on, never a final 401 or 404.
#include "radishflow/Relay/request_admission.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>

using namespace radishflow;
using namespace std::chrono_literals;

namespace {

struct admission_case {
    const char* name;
    bool hasConfig;
    bool isConfirmed;
    const char* path;
    const char* key;
    int status; ///< Status of the refusal; 0 if the request is admitted.
};

std::ostream& operator<<(std::ostream& out, const admission_case& each) { return out << each.name; }

const admission_case admissions[] {
    { "valid key", true, true, "/keyed/x", "k", 0 },
    { "unknown key", true, true, "/keyed/x", "z", 401 },
    { "no key", true, true, "/keyed/x", "", 401 },
    { "public route", true, true, "/public/x", "", 0 },
    { "no route", true, true, "/none/", "k", 404 },
    { "no configuration", false, false, "/keyed/x", "k", 503 },
    { "valid key, not confirmed", true, false, "/keyed/x", "k", 503 },
    { "unknown key, not confirmed", true, false, "/keyed/x", "z", 503 },
    { "no route, not confirmed", true, false, "/none/", "k", 503 },
    { "public route, not confirmed", true, false, "/public/x", "", 0 },
};

std::shared_ptr<const route_table> testRoutes()
{
    return std::make_shared<const route_table>(routing_config {
        .version = config_version { 1 },
        .routes = {
            { .host = "a", .prefix = "/keyed/", .targets = { { service_id { "s" } } } },
            { .host = "a", .prefix = "/public/", .isPublic = true, .targets = { { service_id { "s" } } } },
        },
        .workspaces = { { .id = workspace_id { "w" }, .priority = 2, .keys = { "k" } } },
    });
}

} // namespace

BOOST_DATA_TEST_CASE(requestsAreAdmittedByRouteAndKey, boost::unit_test::data::make(admissions), each)
{
    constexpr time_point now { 1h };
    key_freshness freshness { 5s };
    if (each.isConfirmed)
        freshness.confirm(now - 1s);
    const relayed_request request { .id = request_id { "r" }, .host = "a", .path = each.path, .key = each.key };
    const admitted_request admitted = admit(request, each.hasConfig ? testRoutes() : nullptr, freshness, now);
    BOOST_TEST((admitted.problem ? admitted.problem->status : 0) == each.status);
    BOOST_TEST((admitted.target != nullptr) == (each.status == 0));
    if (admitted.workspace)
        BOOST_TEST(admitted.priority() == 2);
    if (each.status == 503)
        BOOST_TEST(admitted.problem->retryAfter.count() > 0);
}
