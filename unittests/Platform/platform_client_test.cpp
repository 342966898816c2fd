// Tests the platform's client against the stand-in: what it reads and writes, and which failure each fault becomes.
#include "radishflow/Emulator/platform_emulator.h"
#include "radishflow/Platform/platform_client.h"

#include "Support/http_call.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <csignal>
#include <ostream>

using namespace radishflow;

namespace {

struct ignore_broken_pipes {
    ignore_broken_pipes() { std::signal(SIGPIPE, SIG_IGN); }
};

/// A stand-in with fast limits and a client of it.
struct platform_fixture {
    platform_emulator platform { { .control = "127.0.0.1:0" }, { .writesPerSecond = 1000 } };
    platform_client client { { .address = "127.0.0.1:" + std::to_string(platform.port()), .timeout = std::chrono::milliseconds { 300 } } };

    void control(const std::string& method, const std::string& path, const std::string& body) const
    {
        const http_call_reply reply = httpCall({ .method = method, .url = "http://127.0.0.1:" + std::to_string(platform.controlPort()) + path, .body = body });
        BOOST_REQUIRE(reply.status == 200);
    }
    void setFaults(const std::string& faults) const { control("POST", "/control/faults", faults); }
};

// Runs an operation and returns the name of its failure, or "ok".
template <typename Operation>
std::string outcomeOf(Operation operation)
{
    const auto succeed = [&]() -> result<std::string> {
        auto outcome = operation();
        if (!outcome)
            return outcome.error();
        return std::string { "ok" };
    };
    return valueOr(succeed, [](const failure& error) { return std::string { nameOf(error.code) }; });
}

template <typename Operation>
auto valueOf(Operation operation)
{
    using value = std::decay_t<decltype(operation().value())>;
    return valueOr(operation, [](const failure& error) -> value { BOOST_FAIL(describe(error)); return {}; });
}

} // namespace

BOOST_TEST_GLOBAL_FIXTURE(ignore_broken_pipes);

BOOST_FIXTURE_TEST_SUITE(platformClient, platform_fixture)

BOOST_AUTO_TEST_CASE(writesOnceUnderACondition)
{
    const std::string bytes { "a\0\xff", 3 };
    const table_commit first = valueOf([&] { return client.commit({ { "k/1", 0 } }, { { "k/1", bytes }, { "k/2", "x" } }); });
    BOOST_TEST(first.succeeded);
    const table_commit second = valueOf([&] { return client.commit({ { "k/1", 0 } }, { { "k/1", "other" } }); });
    BOOST_TEST(!second.succeeded);
    BOOST_REQUIRE(second.seen.size() == 1);
    BOOST_TEST(second.seen[0].value == bytes);
    BOOST_TEST(second.seen[0].modRevision == first.revision);
    const auto row = valueOf([&] { return client.readRow("k/1"); });
    BOOST_REQUIRE(row.has_value());
    BOOST_TEST(row->value == bytes);
    BOOST_TEST(!valueOf([&] { return client.readRow("k/3"); }).has_value());
}

BOOST_AUTO_TEST_CASE(readsOnlyWhatChangedUnderThePrefix)
{
    valueOf([&] { return client.commit({}, { { "k/1", "a" }, { "l/1", "b" } }); });
    const std::int64_t revision = valueOf([&] { return client.commit({}, { { "k/2", "c" } }); }).revision;
    BOOST_TEST(valueOf([&] { return client.readRange("k/", 0); }).rows.size() == 2);
    BOOST_TEST(valueOf([&] { return client.readRange("", 0); }).rows.size() == 3);
    const table_page changed = valueOf([&] { return client.readRange("k/", revision); });
    BOOST_REQUIRE(changed.rows.size() == 1);
    BOOST_TEST(changed.rows[0].key == "k/2");
    BOOST_TEST(changed.revision == revision);
}

BOOST_AUTO_TEST_CASE(storesAnObjectOnce)
{
    const std::string bytes { "\0\x01", 2 };
    BOOST_TEST(outcomeOf([&] { return client.getObject("config/a b?1"); }) == nameOf(failure_code::NotFound));
    BOOST_TEST(outcomeOf([&] { return client.putObject("config/a b?1", bytes); }) == "ok");
    BOOST_TEST(outcomeOf([&] { return client.putObject("config/a b?1", "other"); }) == nameOf(failure_code::Conflict));
    BOOST_TEST(valueOf([&] { return client.getObject("config/a b?1"); }) == bytes);
}

BOOST_AUTO_TEST_CASE(listsHostsAfterTheLag)
{
    setFaults(R"({"host_lag_ms": 60000})");
    control("PUT", "/control/hosts", R"([{"targets":["127.0.0.1:7001"],"labels":{"role":"daemon","name":"d1","host":"h1",
        "zone":"za","region":"ra","state":"leaving","http":"127.0.0.1:8001"}}])");
    BOOST_TEST(valueOf([&] { return client.listHosts(); }).empty());
    setFaults(R"({"host_lag_ms": 0})");
    const std::vector<listed_host> hosts = valueOf([&] { return client.listHosts(); });
    BOOST_REQUIRE(hosts.size() == 1);
    BOOST_TEST(hosts[0].role == "daemon");
    BOOST_TEST(hosts[0].name == "d1");
    BOOST_TEST(hosts[0].zone.value() == "za");
    BOOST_TEST(hosts[0].leaving);
    BOOST_TEST(hosts[0].target == "127.0.0.1:7001");
    BOOST_TEST(hosts[0].http == "127.0.0.1:8001");
}

namespace {

struct fault_case {
    const char* faults;
    failure_code write;
    const char* read; ///< "ok" or the failure's name.
    bool takesEffect;
};

std::ostream& operator<<(std::ostream& out, const fault_case& each)
{
    return out << each.faults;
}

const fault_case faultCases[] = {
    { R"({"down": "refuse"})", failure_code::Unreachable, nameOf(failure_code::Unreachable), false },
    { R"({"down": "hang"})", failure_code::ReplyLost, nameOf(failure_code::TimedOut), false },
    { R"({"lose_requests": 1})", failure_code::ReplyLost, "ok", false },
    { R"({"lose_replies": 1})", failure_code::ReplyLost, "ok", true },
};

} // namespace

BOOST_DATA_TEST_CASE(namesEachFault, boost::unit_test::data::make(faultCases), each)
{
    setFaults(each.faults);
    BOOST_TEST(outcomeOf([&] { return client.commit({}, { { "k", "v" } }); }) == nameOf(each.write));
    BOOST_TEST(outcomeOf([&] { return client.readRange("k", 0); }) == each.read);
    setFaults(R"({"down": false})");
    BOOST_TEST(valueOf([&] { return client.readRow("k"); }).has_value() == each.takesEffect);
}

BOOST_AUTO_TEST_CASE(readsAreStaleWhileToldSo)
{
    setFaults(R"({"stale_reads": true})");
    BOOST_TEST(valueOf([&] { return client.commit({}, { { "k", "v" } }); }).succeeded);
    BOOST_TEST(!valueOf([&] { return client.readRow("k"); }).has_value());
    setFaults(R"({"stale_reads": false})");
    BOOST_TEST(valueOf([&] { return client.readRow("k"); }).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
