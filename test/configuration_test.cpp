// Tests that an accepted configuration takes effect at all daemons within inForceBound and is never reverted, while
// daemons, the platform's store or its responses fail.
#include "test_fleet.h"

#include <Poco/File.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/TemporaryFile.h>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <csignal>
#include <fstream>
#include <future>
#include <optional>
#include <thread>

using namespace radishflow;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

static constexpr milliseconds inForceBound { 14000 };

static const test_fleet_options idleFleet {
    .zones = { "za", "zb", "zc", "zd" },
    .daemons = 7,
    .engines = 1,
    .plains = 1,
    .waitForOwners = false,
};

/// A service file that is identified by a service that only it declares. The file is removed by the destructor.
class identifiable_service_file {
public:
    explicit identifiable_service_file(std::string serviceName)
        : m_serviceName(std::move(serviceName))
    {
        std::ofstream { m_path } << "services:\n  records:\n    kind: plain\n    request_timeout: 10s\n  " << m_serviceName << ":\n    kind: plain\n    request_timeout: 1s\n"
                                 << "workspaces:\n  desk: { priority: 3, limit: 400, services: [records, " << m_serviceName << "] }\n";
    }
    ~identifiable_service_file() { Poco::File { m_path }.remove(); }
    identifiable_service_file(const identifiable_service_file&) = delete;
    identifiable_service_file& operator=(const identifiable_service_file&) = delete;

    const std::string& path() const { return m_path; }

    /// Returns whether the daemon's configuration declares this file's service.
    bool isInForceAt(const fleet_member& daemon) const
    {
        const http_call_reply reply = httpCall({ .url = "http://" + daemon.http + "/services/" + m_serviceName + "/x", .headers = { { "X-Workspace", "desk" } } });
        return reply.status != 0 && reply.status != 404;
    }

private:
    std::string m_serviceName;
    std::string m_path = Poco::TemporaryFile::tempName();
};

// Returns the daemon's configuration version, or -1 if the daemon doesn't respond.
static long versionAt(const fleet_member& daemon)
{
    const http_call_reply reply = httpCall({ .url = "http://" + daemon.http + "/v1/version", .timeout = milliseconds { 500 } });
    if (reply.status != 200)
        return -1;
    return Poco::JSON::Parser {}.parse(reply.body).extract<Poco::JSON::Object::Ptr>()->getValue<long>("config_version");
}

static bool isInForceEverywhere(test_fleet& fleet, long version)
{
    return std::all_of(fleet.daemons().begin(), fleet.daemons().end(), [&](const fleet_member& daemon) { return versionAt(daemon) == version; });
}

// Returns the time until the condition held, or std::nullopt if it did not hold within inForceBound.
static std::optional<milliseconds> timeUntil(const std::function<bool()>& condition)
{
    const auto start = steady_clock::now();
    if (!waitUntil(inForceBound, condition))
        return std::nullopt;
    return std::chrono::duration_cast<milliseconds>(steady_clock::now() - start);
}

static bool holdsInTime(const char* description, const std::function<bool()>& condition)
{
    const auto time = timeUntil(condition);
    BOOST_TEST_MESSAGE(description << ": " << (time ? std::to_string(time->count()) + " ms" : "not within the bound"));
    return time.has_value();
}

// Returns the version that the platform's store holds.
static long publishedVersion(test_fleet& fleet)
{
    std::string output;
    fleet.runTool({ "status", "--json" }, &output);
    return Poco::JSON::Parser {}.parse(output).extract<Poco::JSON::Object::Ptr>()->getValue<long>("version");
}

static int publishFromBase(const test_fleet& fleet, const identifiable_service_file& file, long base)
{
    return fleet.runTool({ "publish", file.path(), "--base=" + std::to_string(base) });
}

BOOST_AUTO_TEST_CASE(acceptedVersionIsInForceEverywhereAndAFrozenDaemonIsReportedAsUnknown)
{
    test_fleet fleet { idleFleet };
    BOOST_REQUIRE(fleet.isReady());
    const identifiable_service_file second { "second" };
    BOOST_TEST(publishFromBase(fleet, second, 1) == 0);
    BOOST_TEST(holdsInTime("in force at 7 daemons", [&] { return isInForceEverywhere(fleet, 2); }));
    for (const fleet_member& daemon : fleet.daemons())
        BOOST_TEST(second.isInForceAt(daemon), daemon.name);
    std::string output;
    BOOST_TEST(fleet.runTool({ "status" }, &output) == 0);
    BOOST_TEST(output == "version 2 is in force at 7 of 7 daemons\n");

    fleet_member& frozen = fleet.daemons()[3];
    frozen.process->signal(SIGSTOP);
    const identifiable_service_file third { "third" };
    BOOST_TEST(fleet.runTool({ "publish", third.path(), "--wait=4" }, &output) == 4);
    const std::string expected = "version 3 is in force at 6 of 7 daemons\ncan't tell for " + frozen.http + ": it did not answer\n";
    BOOST_TEST(output == expected);
    BOOST_TEST(fleet.runTool({ "status" }, &output) == 4);
    BOOST_TEST(output == expected);
    frozen.process->signal(SIGCONT);
    BOOST_TEST(holdsInTime("in force after the daemon resumed", [&] { return isInForceEverywhere(fleet, 3); }));
    BOOST_TEST(third.isInForceAt(frozen));
    BOOST_TEST(fleet.runTool({ "status" }) == 0);
}

BOOST_AUTO_TEST_CASE(exactlyOneOfTwoConcurrentPublishersIsAccepted)
{
    test_fleet fleet { idleFleet };
    BOOST_REQUIRE(fleet.isReady());
    constexpr long rounds = 5;
    for (long base = 1; base <= rounds; ++base) {
        const std::array<identifiable_service_file, 2> files { identifiable_service_file { "left" + std::to_string(base) }, identifiable_service_file { "right" + std::to_string(base) } };
        auto left = std::async(std::launch::async, [&] { return publishFromBase(fleet, files[0], base); });
        const int rightExitCode = publishFromBase(fleet, files[1], base);
        const int leftExitCode = left.get();
        BOOST_TEST(std::min(leftExitCode, rightExitCode) == 0);
        BOOST_TEST(std::max(leftExitCode, rightExitCode) == 3);
        BOOST_TEST(holdsInTime("in force", [&] { return isInForceEverywhere(fleet, base + 1); }));
        for (const fleet_member& daemon : fleet.daemons()) {
            BOOST_TEST(files[0].isInForceAt(daemon) == (leftExitCode == 0), daemon.name);
            BOOST_TEST(files[1].isInForceAt(daemon) == (rightExitCode == 0), daemon.name);
        }
    }
}

BOOST_AUTO_TEST_CASE(acceptedVersionIsNeverReportedAsRefusedWhenRepliesAreLost)
{
    test_fleet fleet { idleFleet };
    BOOST_REQUIRE(fleet.isReady());
    long base = 1;
    int unknownOutcomes = 0;
    constexpr int maxLostReplies = 8;
    for (int lost = 1; lost <= maxLostReplies; ++lost) {
        const identifiable_service_file file { "lost" + std::to_string(lost) };
        test_fleet::setFaults(fleet.platformControl(), R"({"lose_replies":)" + std::to_string(lost) + "}");
        const int exitCode = publishFromBase(fleet, file, base);
        BOOST_TEST((exitCode == 0 || exitCode == 4), "exit code " << exitCode << " with " << lost << " lost replies");
        test_fleet::setFaults(fleet.platformControl(), R"({"lose_replies":0})");
        const long published = publishedVersion(fleet);
        BOOST_TEST((published == base + 1 || (exitCode == 4 && published == base)));
        unknownOutcomes += exitCode == 4 ? 1 : 0;
        // A publisher that doesn't know the outcome can safely publish again from the same base version.
        BOOST_TEST(publishFromBase(fleet, file, base) == 0);
        ++base;
        BOOST_TEST(publishedVersion(fleet) == base);
    }
    BOOST_TEST(holdsInTime("in force", [&] { return isInForceEverywhere(fleet, base); }));
    const identifiable_service_file last { "lost" + std::to_string(maxLostReplies) };
    for (const fleet_member& daemon : fleet.daemons())
        BOOST_TEST(last.isInForceAt(daemon), daemon.name);
    const auto record = Poco::JSON::Parser {}.parse(test_fleet::record(fleet.platformControl())).extract<Poco::JSON::Object::Ptr>();
    BOOST_TEST_MESSAGE("lost replies " << record->getValue<int>("lost_replies") << ", publications with unknown outcome " << unknownOutcomes);
    BOOST_TEST(record->getValue<int>("lost_replies") > maxLostReplies);
}

/// Polls the version of every daemon on its own thread and counts how often a daemon reported a lower version than before.
class version_monitor {
public:
    explicit version_monitor(test_fleet& fleet)
        : m_highest(fleet.daemons().size(), 0)
        , m_thread([this, &fleet] { run(fleet); })
    {
    }
    ~version_monitor() { stop(); }
    version_monitor(const version_monitor&) = delete;
    version_monitor& operator=(const version_monitor&) = delete;

    void stop()
    {
        m_isStopping = true;
        if (m_thread.joinable())
            m_thread.join();
    }
    int reverts() const { return m_reverts; }
    int samples() const { return m_samples; }

private:
    void run(test_fleet& fleet)
    {
        while (!m_isStopping) {
            for (std::size_t index = 0; index < m_highest.size(); ++index) {
                const long seen = versionAt(fleet.daemons()[index]);
                m_samples += seen >= 0 ? 1 : 0;
                m_reverts += seen >= 0 && seen < m_highest[index] ? 1 : 0;
                m_highest[index] = std::max(m_highest[index], seen);
            }
            // The interval is short since a daemon that reverted receives the higher version from its peers within milliseconds.
            std::this_thread::sleep_for(milliseconds { 5 });
        }
    }

    std::vector<long> m_highest;
    std::atomic<int> m_reverts = 0;
    std::atomic<int> m_samples = 0;
    std::atomic<bool> m_isStopping = false;
    std::thread m_thread;
};

BOOST_AUTO_TEST_CASE(daemonNeverRevertsItsVersionOnStaleReads)
{
    test_fleet fleet { idleFleet };
    BOOST_REQUIRE(fleet.isReady());
    version_monitor monitor { fleet };
    constexpr long rounds = 6;
    for (long base = 1; base <= rounds; ++base) {
        const identifiable_service_file file { "stale" + std::to_string(base) };
        const identifiable_service_file late { "late" + std::to_string(base) };
        test_fleet::setFaults(fleet.platformControl(), R"({"stale_reads":true})");
        BOOST_TEST(publishFromBase(fleet, file, base) == 0);
        // A publication based on the previous version must not replace the current one.
        BOOST_TEST(publishFromBase(fleet, late, base) == 3);
        std::this_thread::sleep_for(milliseconds { 400 });
        // Every second read returns the state before the publication, as if served by a lagging replica.
        test_fleet::setFaults(fleet.platformControl(), R"({"stale_reads":"alternate"})");
        BOOST_TEST(holdsInTime("in force during stale reads", [&] { return isInForceEverywhere(fleet, base + 1); }));
        std::this_thread::sleep_for(milliseconds { 1000 });
        test_fleet::setFaults(fleet.platformControl(), R"({"stale_reads":false})");
        BOOST_TEST(isInForceEverywhere(fleet, base + 1));
        BOOST_TEST(file.isInForceAt(fleet.daemons()[static_cast<std::size_t>(base)]));
        BOOST_TEST(!late.isInForceAt(fleet.daemons()[static_cast<std::size_t>(base)]));
    }
    monitor.stop();
    BOOST_TEST_MESSAGE("samples " << monitor.samples() << ", reverts " << monitor.reverts());
    BOOST_TEST(monitor.samples() > 300);
    BOOST_TEST(monitor.reverts() == 0);
}

BOOST_AUTO_TEST_CASE(acceptedVersionIsNotReportedAsFailedWhenTheHostListIsUnavailable)
{
    test_fleet fleet { idleFleet };
    BOOST_REQUIRE(fleet.isReady());
    httpCall({ .method = "PUT", .url = "http://" + fleet.platformControl() + "/control/hosts", .body = "broken" });
    const identifiable_service_file second { "second" };
    std::string errors;
    BOOST_TEST(fleet.runTool({ "publish", second.path(), "--wait=2" }, nullptr, &errors) == 4);
    BOOST_TEST(errors.find("radishflow: published version 2\n") == 0);
    BOOST_TEST(errors.find("can't tell where it is in force") != std::string::npos, errors);
    BOOST_TEST(holdsInTime("in force without a host list", [&] { return isInForceEverywhere(fleet, 2); }));
}

BOOST_AUTO_TEST_CASE(invalidServiceFileIsRefusedAndChangesNothing)
{
    test_fleet fleet { idleFleet };
    BOOST_REQUIRE(fleet.isReady());
    struct invalid_file {
        std::string text;
        std::string expectedError; ///< Text that follows the file's name in the error message.
    };
    const std::vector<invalid_file> samples {
        { "services:\n  records: { kind: plain, cold_limt: 3 }\n", ":2: services.records.cold_limt: unknown key" },
        { "services:\n  records:\n    kind: plain\n    request_timeout: 30\n", ":4: services.records.request_timeout: " },
        { "services:\n  records: { kind: plain }\nworkspaces:\n  desk: { priority: 3, limit: 4, services: [recods] }\n", ":4: workspaces.desk.services: service 'recods' is not declared" },
    };
    for (const invalid_file& sample : samples) {
        const std::string path = Poco::TemporaryFile::tempName();
        std::ofstream { path } << sample.text;
        std::string errors;
        BOOST_TEST(fleet.runTool({ "publish", path }, nullptr, &errors) == 2);
        BOOST_TEST(errors.find(path + sample.expectedError) != std::string::npos, errors);
        BOOST_TEST(fleet.runTool({ "check", path }, nullptr, &errors) == 2);
        Poco::File { path }.remove();
    }
    BOOST_TEST(publishedVersion(fleet) == 1);
    BOOST_TEST(isInForceEverywhere(fleet, 1));
}

BOOST_AUTO_TEST_CASE(daemonRestartedWhileThePlatformIsUnreachableTakesTheConfigurationOfItsPeers)
{
    test_fleet fleet { idleFleet };
    BOOST_REQUIRE(fleet.isReady());
    const identifiable_service_file second { "second" };
    BOOST_TEST(publishFromBase(fleet, second, 1) == 0);
    BOOST_REQUIRE(holdsInTime("in force", [&] { return isInForceEverywhere(fleet, 2); }));
    test_fleet::setFaults(fleet.platformControl(), R"({"down":"refuse"})");
    fleet_member& restarted = fleet.daemons()[5];
    const auto readinessStatus = [&] { return httpCall({ .url = "http://" + restarted.http + "/readyz" }).status; };
    restarted.process->signal(SIGKILL);
    fleet.restartDaemon(5);
    BOOST_REQUIRE(!restarted.http.empty());
    // Without seeds it finds no peers and has no configuration, so it must report that it is not ready.
    for (int poll = 0; poll < 20; ++poll) {
        BOOST_TEST(readinessStatus() == 503);
        BOOST_TEST(versionAt(restarted) == 0);
        std::this_thread::sleep_for(milliseconds { 100 });
    }
    restarted.process->signal(SIGKILL);
    restarted.arguments.push_back("--seeds=" + fleet.daemons()[0].target + ',' + fleet.daemons()[1].target);
    fleet.restartDaemon(5);
    bool wasReadyWhileUnreachable = false;
    BOOST_TEST(holdsInTime("in force at the restarted daemon", [&] {
        wasReadyWhileUnreachable = wasReadyWhileUnreachable || readinessStatus() == 200;
        return versionAt(restarted) == 2;
    }));
    BOOST_TEST(second.isInForceAt(restarted));
    // It has the configuration, but the host list and the owners are available only from the platform.
    BOOST_TEST(readinessStatus() == 503);
    BOOST_TEST(!wasReadyWhileUnreachable);
    test_fleet::setFaults(fleet.platformControl(), R"({"down":false})");
    fleet.listHosts();
    BOOST_TEST(holdsInTime("ready at the restarted daemon", [&] { return readinessStatus() == 200; }));
}
