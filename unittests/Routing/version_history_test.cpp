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

// Guards against streams that are refused after the loss of all daemons, and against those that go on at another version.
BOOST_AUTO_TEST_CASE(recordsOfOtherDaemonsExtendTheHistory)
{
    const service_id service { "s" };
    const auto one = versionKeyOf(service, software_version { "v1" });
    const auto two = versionKeyOf(service, software_version { "v2" });
    const time_point now { 1h };
    const auto soleAfterMerge = [&](const std::map<version_key, time_point>& lastListedAt, time_point since) {
        version_history history { { .window = 30s } };
        history.record(listOf({ "v1" }), now);
        history.merge(service, lastListedAt, since);
        return history.soleVersion(service, now);
    };
    BOOST_TEST((soleAfterMerge({ { one, now } }, now - 30s) == one));
    BOOST_TEST((soleAfterMerge({ { one, now } }, time_point {}) == one));
    BOOST_TEST(!soleAfterMerge({ { one, now } }, now - 29s).has_value());
    BOOST_TEST(!soleAfterMerge({ { one, now }, { two, now - 29s } }, time_point {}).has_value());
    BOOST_TEST((soleAfterMerge({ { one, now }, { two, now - 31s } }, time_point {}) == one));
    BOOST_TEST(!soleAfterMerge({ { two, now } }, time_point {}).has_value());
}

BOOST_AUTO_TEST_CASE(versionsAreListedUntilTheListLacksThem)
{
    const service_id service { "s" };
    const auto one = versionKeyOf(service, software_version { "v1" });
    const auto two = versionKeyOf(service, software_version { "v2" });
    version_history history { { .window = 30s } };
    history.record(listOf({ "v1", "v2" }), time_point { 1h });
    history.record(listOf({ "v2" }), time_point { 1h + 1s });
    const auto versions = history.versions().at(service);
    BOOST_TEST(!versions.at(one).isListed);
    BOOST_TEST(versions.at(two).isListed);
}

// The origins of streams are recorded while this holds, and for the window after it, in which streams of the former version are resumed.
BOOST_AUTO_TEST_CASE(serviceIsMixedForTheWindowAfterItsOtherVersionLeft)
{
    const service_id service { "s" };
    const auto one = versionKeyOf(service, software_version { "v1" });
    version_history history { { .window = 30s } };
    const time_point start { 1h };
    history.record(listOf({ "v1" }), start);
    BOOST_TEST(!history.isServiceMixed(one, start));
    BOOST_TEST(history.isServiceMixed(versionKeyOf(service, software_version { "v0" }), start));
    history.record(listOf({ "v1", "v2" }), start + 1s);
    BOOST_TEST(history.isServiceMixed(one, start + 1s));
    history.record(listOf({ "v1" }), start + 31s);
    BOOST_TEST(history.isServiceMixed(one, start + 31s));
    BOOST_TEST(!history.isServiceMixed(one, start + 32s));
}
