// Tests that an accepted configuration is in force everywhere within seconds and never reverts, whatever fails.
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

static const test_fleet_options quietFleet {
    .zones = { "za", "zb", "zc", "zd" },
    .daemons = 7,
    .engines = 1,
    .plains = 1,
    .waitForOwners = false,
};

/// A service file that is told from others by a service of its own.
class marked_file {
public:
    explicit marked_file(std::string mark)
        : m_mark(std::move(mark))
    {
        std::ofstream { m_path } << "services:\n  records:\n    kind: plain\n    request_timeout: 10s\n  " << m_mark << ":\n    kind: plain\n    request_timeout: 1s\n"
                                 << "workspaces:\n  desk: { priority: 3, limit: 400, services: [records, " << m_mark << "] }\n";
    }
    ~marked_file() { Poco::File { m_path }.remove(); }
    marked_file(const marked_file&) = delete;
    marked_file& operator=(const marked_file&) = delete;

    const std::string& path() const { return m_path; }

    /// Whether the daemon knows this file's service.
    bool isInForceAt(const fleet_member& daemon) const
    {
        const http_call_reply reply = httpCall({ .url = "http://" + daemon.http + "/services/" + m_mark + "/x", .headers = { { "X-Workspace", "desk" } } });
        return reply.status != 0 && reply.status != 404;
    }

private:
    std::string m_mark;
    std::string m_path = Poco::TemporaryFile::tempName();
};

// Minus one when the daemon doesn't answer.
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

// Returns how long it took, or nothing when the bound passed.
static std::optional<milliseconds> timeUntil(const std::function<bool()>& condition)
{
    const auto start = steady_clock::now();
    if (!waitUntil(inForceBound, condition))
        return std::nullopt;
    return std::chrono::duration_cast<milliseconds>(steady_clock::now() - start);
}

static bool arrives(const char* what, const std::function<bool()>& condition)
{
    const auto time = timeUntil(condition);
    BOOST_TEST_MESSAGE(what << ": " << (time ? std::to_string(time->count()) + " ms" : "not within the bound"));
    return time.has_value();
}

// The version that the platform's table holds.
static long publishedVersion(test_fleet& fleet)
{
    std::string output;
    fleet.runTool({ "status", "--json" }, &output);
    return Poco::JSON::Parser {}.parse(output).extract<Poco::JSON::Object::Ptr>()->getValue<long>("version");
}

static int publishAt(const test_fleet& fleet, const marked_file& file, long base)
{
    return fleet.runTool({ "publish", file.path(), "--base=" + std::to_string(base) });
}

BOOST_AUTO_TEST_CASE(acceptedVersionIsInForceEverywhereAndAFrozenDaemonIsSaidToBeUnknown)
{
    test_fleet fleet { quietFleet };
    BOOST_REQUIRE(fleet.isReady());
    const marked_file second { "second" };
    BOOST_TEST(publishAt(fleet, second, 1) == 0);
    BOOST_TEST(arrives("in force at 7 daemons", [&] { return isInForceEverywhere(fleet, 2); }));
    for (const fleet_member& daemon : fleet.daemons())
        BOOST_TEST(second.isInForceAt(daemon), daemon.name);
    std::string output;
    BOOST_TEST(fleet.runTool({ "status" }, &output) == 0);
    BOOST_TEST(output == "version 2 is in force at 7 of 7 daemons\n");

    fleet_member& frozen = fleet.daemons()[3];
    frozen.process->signal(SIGSTOP);
    const marked_file third { "third" };
    BOOST_TEST(fleet.runTool({ "publish", third.path(), "--wait=4" }, &output) == 4);
    const std::string expected = "version 3 is in force at 6 of 7 daemons\ncan't tell for " + frozen.http + ": it did not answer\n";
    BOOST_TEST(output == expected);
    BOOST_TEST(fleet.runTool({ "status" }, &output) == 4);
    BOOST_TEST(output == expected);
    frozen.process->signal(SIGCONT);
    BOOST_TEST(arrives("in force after the freeze", [&] { return isInForceEverywhere(fleet, 3); }));
    BOOST_TEST(third.isInForceAt(frozen));
    BOOST_TEST(fleet.runTool({ "status" }) == 0);
}

BOOST_AUTO_TEST_CASE(onePublisherOfTwoIsAccepted)
{
    test_fleet fleet { quietFleet };
    BOOST_REQUIRE(fleet.isReady());
    constexpr long rounds = 5;
    for (long base = 1; base <= rounds; ++base) {
        const std::array<marked_file, 2> files { marked_file { "left" + std::to_string(base) }, marked_file { "right" + std::to_string(base) } };
        auto left = std::async(std::launch::async, [&] { return publishAt(fleet, files[0], base); });
        const int rightCode = publishAt(fleet, files[1], base);
        const int leftCode = left.get();
        BOOST_TEST(std::min(leftCode, rightCode) == 0);
        BOOST_TEST(std::max(leftCode, rightCode) == 3);
        BOOST_TEST(arrives("in force", [&] { return isInForceEverywhere(fleet, base + 1); }));
        for (const fleet_member& daemon : fleet.daemons()) {
            BOOST_TEST(files[0].isInForceAt(daemon) == (leftCode == 0), daemon.name);
            BOOST_TEST(files[1].isInForceAt(daemon) == (rightCode == 0), daemon.name);
        }
    }
}

BOOST_AUTO_TEST_CASE(lostRepliesNeverMakeAnAcceptedVersionLookRefused)
{
    test_fleet fleet { quietFleet };
    BOOST_REQUIRE(fleet.isReady());
    long base = 1;
    int unknown = 0;
    constexpr int mostLost = 8;
    for (int lost = 1; lost <= mostLost; ++lost) {
        const marked_file file { "lost" + std::to_string(lost) };
        test_fleet::setFaults(fleet.platformControl(), R"({"lose_replies":)" + std::to_string(lost) + "}");
        const int code = publishAt(fleet, file, base);
        BOOST_TEST((code == 0 || code == 4), "exit code " << code << " with " << lost << " lost replies");
        test_fleet::setFaults(fleet.platformControl(), R"({"lose_replies":0})");
        const long now = publishedVersion(fleet);
        BOOST_TEST((now == base + 1 || (code == 4 && now == base)));
        unknown += code == 4 ? 1 : 0;
        // Whoever can't tell publishes again from the same base, which is safe.
        BOOST_TEST(publishAt(fleet, file, base) == 0);
        ++base;
        BOOST_TEST(publishedVersion(fleet) == base);
    }
    BOOST_TEST(arrives("in force", [&] { return isInForceEverywhere(fleet, base); }));
    const marked_file last { "lost" + std::to_string(mostLost) };
    for (const fleet_member& daemon : fleet.daemons())
        BOOST_TEST(last.isInForceAt(daemon), daemon.name);
    const auto record = Poco::JSON::Parser {}.parse(test_fleet::record(fleet.platformControl())).extract<Poco::JSON::Object::Ptr>();
    BOOST_TEST_MESSAGE("lost replies " << record->getValue<int>("lost_replies") << ", publications that could not be told " << unknown);
    BOOST_TEST(record->getValue<int>("lost_replies") > mostLost);
}

/// Asks every daemon for its version again and again and counts each time that one fell.
class version_sampler {
public:
    explicit version_sampler(test_fleet& fleet)
        : m_highest(fleet.daemons().size(), 0)
        , m_thread([this, &fleet] { run(fleet); })
    {
    }
    ~version_sampler() { stop(); }
    version_sampler(const version_sampler&) = delete;
    version_sampler& operator=(const version_sampler&) = delete;

    void stop()
    {
        m_isStopping = true;
        if (m_thread.joinable())
            m_thread.join();
    }
    int falls() const { return m_falls; }
    int samples() const { return m_samples; }

private:
    void run(test_fleet& fleet)
    {
        while (!m_isStopping) {
            for (std::size_t index = 0; index < m_highest.size(); ++index) {
                const long seen = versionAt(fleet.daemons()[index]);
                m_samples += seen >= 0 ? 1 : 0;
                m_falls += seen >= 0 && seen < m_highest[index] ? 1 : 0;
                m_highest[index] = std::max(m_highest[index], seen);
            }
            // A daemon that went back hears of the higher version from its peers within milliseconds.
            std::this_thread::sleep_for(milliseconds { 5 });
        }
    }

    std::vector<long> m_highest;
    std::atomic<int> m_falls = 0;
    std::atomic<int> m_samples = 0;
    std::atomic<bool> m_isStopping = false;
    std::thread m_thread;
};

BOOST_AUTO_TEST_CASE(staleReadsNeverMakeADaemonRevert)
{
    test_fleet fleet { quietFleet };
    BOOST_REQUIRE(fleet.isReady());
    version_sampler sampler { fleet };
    constexpr long rounds = 6;
    for (long base = 1; base <= rounds; ++base) {
        const marked_file file { "stale" + std::to_string(base) };
        const marked_file late { "late" + std::to_string(base) };
        test_fleet::setFaults(fleet.platformControl(), R"({"stale_reads":true})");
        BOOST_TEST(publishAt(fleet, file, base) == 0);
        // Whoever reads what was in force before can't replace what is in force now.
        BOOST_TEST(publishAt(fleet, late, base) == 3);
        std::this_thread::sleep_for(milliseconds { 400 });
        // A replica that lags answers every second read from before the publication.
        test_fleet::setFaults(fleet.platformControl(), R"({"stale_reads":"alternate"})");
        BOOST_TEST(arrives("in force beside stale reads", [&] { return isInForceEverywhere(fleet, base + 1); }));
        std::this_thread::sleep_for(milliseconds { 1000 });
        test_fleet::setFaults(fleet.platformControl(), R"({"stale_reads":false})");
        BOOST_TEST(isInForceEverywhere(fleet, base + 1));
        BOOST_TEST(file.isInForceAt(fleet.daemons()[static_cast<std::size_t>(base)]));
        BOOST_TEST(!late.isInForceAt(fleet.daemons()[static_cast<std::size_t>(base)]));
    }
    sampler.stop();
    BOOST_TEST_MESSAGE("samples " << sampler.samples() << ", falls " << sampler.falls());
    BOOST_TEST(sampler.samples() > 300);
    BOOST_TEST(sampler.falls() == 0);
}

BOOST_AUTO_TEST_CASE(anAcceptedVersionIsNotCalledFailedWhenTheDaemonsCantBeFound)
{
    test_fleet fleet { quietFleet };
    BOOST_REQUIRE(fleet.isReady());
    httpCall({ .method = "PUT", .url = "http://" + fleet.platformControl() + "/control/hosts", .body = "broken" });
    const marked_file second { "second" };
    std::string errors;
    BOOST_TEST(fleet.runTool({ "publish", second.path(), "--wait=2" }, nullptr, &errors) == 4);
    BOOST_TEST(errors.find("radishflow: published version 2\n") == 0);
    BOOST_TEST(errors.find("can't tell where it is in force") != std::string::npos, errors);
    BOOST_TEST(arrives("in force without a host list", [&] { return isInForceEverywhere(fleet, 2); }));
}

BOOST_AUTO_TEST_CASE(aBadServiceFileIsRefusedAndChangesNothing)
{
    test_fleet fleet { quietFleet };
    BOOST_REQUIRE(fleet.isReady());
    struct bad_file {
        std::string text;
        std::string complaint; ///< After the file's name.
    };
    const std::vector<bad_file> samples {
        { "services:\n  records: { kind: plain, cold_limt: 3 }\n", ":2: services.records.cold_limt: unknown key" },
        { "services:\n  records:\n    kind: plain\n    request_timeout: 30\n", ":4: services.records.request_timeout: " },
        { "services:\n  records: { kind: plain }\nworkspaces:\n  desk: { priority: 3, limit: 4, services: [recods] }\n", ":4: workspaces.desk.services: service 'recods' is not declared" },
    };
    for (const bad_file& sample : samples) {
        const std::string path = Poco::TemporaryFile::tempName();
        std::ofstream { path } << sample.text;
        std::string errors;
        BOOST_TEST(fleet.runTool({ "publish", path }, nullptr, &errors) == 2);
        BOOST_TEST(errors.find(path + sample.complaint) != std::string::npos, errors);
        BOOST_TEST(fleet.runTool({ "check", path }, nullptr, &errors) == 2);
        Poco::File { path }.remove();
    }
    BOOST_TEST(publishedVersion(fleet) == 1);
    BOOST_TEST(isInForceEverywhere(fleet, 1));
}

BOOST_AUTO_TEST_CASE(aDaemonRestartedWhileThePlatformIsDarkTakesWhatItsPeersHold)
{
    test_fleet fleet { quietFleet };
    BOOST_REQUIRE(fleet.isReady());
    const marked_file second { "second" };
    BOOST_TEST(publishAt(fleet, second, 1) == 0);
    BOOST_REQUIRE(arrives("in force", [&] { return isInForceEverywhere(fleet, 2); }));
    test_fleet::setFaults(fleet.platformControl(), R"({"down":"refuse"})");
    fleet_member& restarted = fleet.daemons()[5];
    const auto isReady = [&] { return httpCall({ .url = "http://" + restarted.http + "/readyz" }).status; };
    restarted.process->signal(SIGKILL);
    fleet.restartDaemon(5);
    BOOST_REQUIRE(!restarted.http.empty());
    // On its own it knows nobody and has nothing, and says so.
    for (int look = 0; look < 20; ++look) {
        BOOST_TEST(isReady() == 503);
        BOOST_TEST(versionAt(restarted) == 0);
        std::this_thread::sleep_for(milliseconds { 100 });
    }
    restarted.process->signal(SIGKILL);
    restarted.arguments.push_back("--seeds=" + fleet.daemons()[0].target + ',' + fleet.daemons()[1].target);
    fleet.restartDaemon(5);
    bool wasReadyInTheDark = false;
    BOOST_TEST(arrives("in force at the restarted daemon", [&] {
        wasReadyInTheDark = wasReadyInTheDark || isReady() == 200;
        return versionAt(restarted) == 2;
    }));
    BOOST_TEST(second.isInForceAt(restarted));
    // It has the configuration, but the host list and the owners only the platform can tell it.
    BOOST_TEST(isReady() == 503);
    BOOST_TEST(!wasReadyInTheDark);
    test_fleet::setFaults(fleet.platformControl(), R"({"down":false})");
    fleet.listHosts();
    BOOST_TEST(arrives("ready at the restarted daemon", [&] { return isReady() == 200; }));
}
