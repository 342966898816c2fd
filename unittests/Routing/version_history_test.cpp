// Tests when a service is known to have had a single software version.
#include "radishflow/Routing/version_history.h"

#include <boost/test/unit_test.hpp>

using namespace radishflow;
using namespace std::chrono_literals;

static server_list listOf(const std::vector<std::string>& versions)
{
    server_list list;
    for (const std::string& version : versions) {
        const server_id id { "i-" + version };
        list.servers.emplace(id, listed_server { .id = id, .service = service_id { "s" }, .version = software_version { version } });
    }
    return list;
}

BOOST_AUTO_TEST_CASE(soleVersionIsUnknownUntilTheWindowHasPassed)
{
    const service_id service { "s" };
    const auto one = versionKeyOf(service, software_version { "v1" });
    const auto two = versionKeyOf(service, software_version { "v2" });
    version_history history { { .window = 30s } };
    time_point now { 1h };
    const auto recordFor = [&](const server_list& list, duration time) {
        for (const time_point end = now + time; now < end; now += 1s)
            history.record(list, now);
    };
    BOOST_TEST(!history.soleVersion(service, now).has_value());
    recordFor(listOf({ "v1" }), 29s);
    BOOST_TEST(!history.soleVersion(service, now).has_value());
    recordFor(listOf({ "v1" }), 3s);
    BOOST_TEST((history.soleVersion(service, now) == one));
    recordFor(listOf({ "v1", "v2" }), 1s);
    BOOST_TEST(!history.soleVersion(service, now).has_value());
    recordFor(listOf({ "v2" }), 28s);
    BOOST_TEST(!history.soleVersion(service, now).has_value());
    recordFor(listOf({ "v2" }), 5s);
    BOOST_TEST((history.soleVersion(service, now) == two));
    BOOST_TEST(!history.soleVersion(service_id { "other" }, now).has_value());
}
