// Tests that a stream continues only at servers of the software version that began it, and that most streams continue.
#include "relay_fleet.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <csignal>
#include <functional>
#include <future>
#include <ostream>
#include <set>
#include <thread>

using namespace radishflow;
using namespace std::chrono_literals;

namespace {

constexpr int streams = 24;
constexpr int origin = 0; ///< Daemon at which the streams begin.
constexpr int other = 1; ///< Daemon at which they are resumed.
constexpr const char* path = "/resumable-stream/a";

/// What happens between the break of the streams and their resumption.
struct disturbance_case {
    const char* name;
    int daemons;
    std::function<void(relay_fleet&)> disturb;
};

std::ostream& operator<<(std::ostream& out, const disturbance_case& testCase) { return out << testCase.name; }

void killDaemon(relay_fleet& fleet, int daemon)
{
    fleet.daemon(daemon).signal(SIGKILL);
    fleet.daemon(daemon).wait(1s);
}

const disturbance_case disturbances[] {
    { "none", 3, [](relay_fleet&) {} },
    { "first daemon killed", 3, [](relay_fleet& fleet) { killDaemon(fleet, origin); } },
    { "first daemon paused", 3, [](relay_fleet& fleet) { fleet.daemon(origin).signal(SIGSTOP); } },
    { "second daemon restarted", 3, [](relay_fleet& fleet) {
         killDaemon(fleet, other);
         fleet.restart(other);
         BOOST_REQUIRE(fleet.waitReady(other));
     } },
    { "first daemon killed, second restarted", 3, [](relay_fleet& fleet) {
         killDaemon(fleet, origin);
         killDaemon(fleet, other);
         fleet.restart(other);
         BOOST_REQUIRE(fleet.waitReady(other));
     } },
    { "first daemon of many killed", 20, [](relay_fleet& fleet) { killDaemon(fleet, origin); } },
};

void setAll(relay_fleet& fleet, const server_behaviour& behaviour)
{
    for (int server = 0; server < fleet.servers(); ++server)
        fleet.server(server).setBehaviour(behaviour);
}

/// Returns the versions of the servers that received any of the given requests.
std::set<std::string> versionsOf(relay_fleet& fleet, const std::set<std::string>& ids)
{
    std::set<std::string> versions;
    for (int server = 0; server < fleet.servers(); ++server) {
        for (const received_request& received : fleet.server(server).seen()) {
            if (ids.contains(received.id))
                versions.insert(received.version);
        }
    }
    return versions;
}

std::string lastEventId(const std::string& body)
{
    const auto complete = body.rfind("\n\n");
    const auto start = body.rfind("id: ", complete);
    return complete == std::string::npos ? "" : body.substr(start + 4, body.find('\n', start) - start - 4);
}

test_request beginning(int number) { return { .id = "s" + std::to_string(number), .key = relay_fleet::key, .timeLeft = 9s }; }

test_request resumption(int number, const std::string& position)
{
    return { .id = "t" + std::to_string(number), .key = relay_fleet::key, .timeLeft = 9s, .resumes = "s" + std::to_string(number), .lastEventId = position };
}

} // namespace

BOOST_DATA_TEST_CASE(resumedStreamsStayAtTheirVersion, boost::unit_test::data::make(disturbances), testCase)
{
    relay_fleet fleet { { .daemons = testCase.daemons, .servers = 6, .versions = { "v1", "v2" } } };
    BOOST_REQUIRE(waitUntil(10s, [&] { return static_cast<int>(fleet.lookUp(origin).size()) == testCase.daemons; }));
    std::this_thread::sleep_for(1s);
    setAll(fleet, { .kind = server_response_kind::Cut });
    std::vector<std::string> positions;
    positions.reserve(streams);
    for (int number = 0; number < streams; ++number)
        positions.push_back(lastEventId(fleet.stream(origin, path, beginning(number)).body));
    setAll(fleet, {});
    testCase.disturb(fleet);
    int resumed = 0;
    for (int number = 0; number < streams; ++number) {
        BOOST_REQUIRE(!positions[static_cast<std::size_t>(number)].empty());
        const received_response response = fleet.stream(other, path, resumption(number, positions[static_cast<std::size_t>(number)]));
        resumed += response.status == 200 && response.isComplete ? 1 : 0;
        BOOST_TEST(versionsOf(fleet, { "s" + std::to_string(number), "t" + std::to_string(number) }).size() == 1U);
    }
    BOOST_TEST_MESSAGE(testCase.name << ": " << resumed << " of " << streams << " streams went on");
    BOOST_TEST(2 * resumed >= streams);
    if (std::string { testCase.name } == "first daemon paused")
        fleet.daemon(origin).signal(SIGCONT);
}

BOOST_AUTO_TEST_CASE(streamOfUnknownVersionIsRefusedWhileTwoServe)
{
    relay_fleet fleet { { .daemons = 2, .servers = 4, .versions = { "v1", "v2" } } };
    const received_response response = fleet.stream(other, path, resumption(0, "2"));
    BOOST_TEST(response.status == 503);
    BOOST_TEST(fleet.runs() == 0);
}

BOOST_AUTO_TEST_CASE(streamsGoOnAfterTheirVersionsOnlyServerIsRelisted)
{
    relay_fleet fleet { { .daemons = 2, .servers = 2, .versions = { "v1", "v2" } } };
    setAll(fleet, { .kind = server_response_kind::Cut });
    const std::string position = lastEventId(fleet.stream(origin, path, beginning(0)).body);
    const int server = versionsOf(fleet, { "s0" }).contains("v1") ? 0 : 1;
    setAll(fleet, {});
    fleet.list(server, "draining");
    std::this_thread::sleep_for(1s);
    BOOST_TEST(fleet.stream(other, path, resumption(0, position)).status == 503);
    fleet.list(server);
    std::this_thread::sleep_for(1s);
    BOOST_TEST(fleet.stream(other, path, resumption(0, position)).status == 200);
    BOOST_TEST(versionsOf(fleet, { "s0", "t0" }).size() == 1U);
}

// Streams begin while most requests go to the first service, and are resumed when most go to the second one.
BOOST_AUTO_TEST_CASE(streamsOfSplitRouteGoOnAtTheirServiceAfterItsWeightsChanged)
{
    constexpr const char* splitPath = "/split-stream/a";
    constexpr auto configurationTime = 1s;
    relay_fleet fleet { { .daemons = 2, .servers = 4, .services = { standinService, secondService } } };
    fleet.configure({ .version = 2, .workspaceKey = relay_fleet::key, .splitWeight = 90 });
    std::this_thread::sleep_for(configurationTime);
    setAll(fleet, { .kind = server_response_kind::Cut });
    std::vector<std::string> positions;
    positions.reserve(streams);
    for (int number = 0; number < streams; ++number)
        positions.push_back(lastEventId(fleet.stream(origin, splitPath, beginning(number)).body));
    setAll(fleet, {});
    fleet.configure({ .version = 3, .workspaceKey = relay_fleet::key, .splitWeight = 10 });
    std::this_thread::sleep_for(configurationTime);
    int resumed = 0;
    for (int number = 0; number < streams; ++number) {
        const received_response response = fleet.stream(other, splitPath, resumption(number, positions[static_cast<std::size_t>(number)]));
        resumed += response.status == 200 && response.isComplete ? 1 : 0;
    }
    BOOST_TEST_MESSAGE(resumed << " of " << streams << " streams went on");
    BOOST_TEST(resumed == streams);
    for (int number = 0; number < streams; ++number) {
        std::set<int> services; // Servers of the first one have even numbers.
        for (int server = 0; server < fleet.servers(); ++server) {
            for (const received_request& received : fleet.server(server).seen()) {
                if (received.id == "s" + std::to_string(number) || received.id == "t" + std::to_string(number))
                    services.insert(server % 2);
            }
        }
        BOOST_TEST(services.size() == 1U);
    }
}

namespace {

/// What happens to two of the servers in turn, whose entries stay as they are.
struct break_case {
    const char* name;
    bool restarts; ///< As another software version.

    friend std::ostream& operator<<(std::ostream& out, const break_case& testCase) { return out << testCase.name; }
};

const break_case breaks[] {
    { "restart as another version", true },
    { "connections refused for a time", false },
};

} // namespace

// Guards against streams that go on at another version, since the entry of a server that has restarted still names the former one.
BOOST_DATA_TEST_CASE(streamsAvoidServersThatRestartedUnderTheirEntry, boost::unit_test::data::make(breaks) * boost::unit_test::data::make({ 3, 2 }), testCase, firstDaemons)
{
    constexpr auto breakInterval = 2500ms; ///< Longer than daemons avoid a server after a failure.
    constexpr auto lapseTime = 3600ms; ///< After which the platform removes an entry that is not renewed.
    relay_fleet fleet { { .daemons = 3, .servers = 4, .behaviour = { .events = 100, .pause = 50ms } } };
    // The other daemons have no connection to a server that breaks.
    const auto startStreams = [&](const std::string& prefix, int daemons) {
        std::vector<std::future<received_response>> running;
        running.reserve(streams);
        for (int number = 0; number < streams; ++number)
            running.push_back(std::async(std::launch::async, [&fleet, number, daemons, id = prefix + std::to_string(number)] { return fleet.stream(number % daemons, "/resumable-stream/" + id, { .id = id, .key = relay_fleet::key, .timeLeft = 9s }); }));
        return running;
    };
    // Checks that no stream has events of two versions, and returns how many are complete.
    const auto awaitStreams = [&](std::vector<std::future<received_response>>& running, const std::string& prefix) {
        int complete = 0;
        for (int number = 0; number < streams; ++number) {
            complete += running[static_cast<std::size_t>(number)].get().isComplete ? 1 : 0;
            BOOST_TEST(versionsOf(fleet, { prefix + std::to_string(number) }).size() == 1U);
        }
        return complete;
    };
    auto first = startStreams("first", firstDaemons);
    std::this_thread::sleep_for(500ms);
    const auto firstBreakAt = std::chrono::steady_clock::now();
    for (const int server : { 0, 1 }) {
        testCase.restarts ? fleet.server(server).restart("v2") : fleet.server(server).interrupt();
        const auto next = std::chrono::steady_clock::now() + breakInterval;
        if (server == 1 && testCase.restarts) {
            std::this_thread::sleep_until(firstBreakAt + lapseTime);
            fleet.store().unlist(fleet.server(0).id());
        }
        std::this_thread::sleep_until(next);
    }
    // A server that was only interrupted is trusted once a stream has needed it, so the one that broke first is.
    const int checked = testCase.restarts ? 1 : 0;
    const int runsBefore = fleet.server(checked).runs();
    auto second = startStreams("second", fleet.daemons());
    BOOST_TEST(2 * awaitStreams(first, "first") >= streams); // Some are cut twice.
    BOOST_TEST(awaitStreams(second, "second") == streams);
    BOOST_TEST((fleet.server(checked).runs() > runsBefore) == !testCase.restarts);
    for (const int server : { 0, 1 })
        fleet.list(server);
    std::this_thread::sleep_for(1s);
    auto third = startStreams("third", fleet.daemons());
    BOOST_TEST(awaitStreams(third, "third") == streams);
    BOOST_TEST(fleet.server(checked).runs() > runsBefore);
}

namespace {

/// The traffic at a server before it restarts without a request.
struct idle_case {
    const char* name;
    bool hasServed; ///< So that daemons keep connections to it.

    friend std::ostream& operator<<(std::ostream& out, const idle_case& testCase) { return out << testCase.name; }
};

const idle_case idleServers[] {
    { "never used", false },
    { "used before", true },
};

} // namespace

// Guards against streams that go on at a server whose restart no daemon has noticed, since it had no request.
BOOST_DATA_TEST_CASE(streamsAvoidServersThatRestartedWithoutRequests, boost::unit_test::data::make(idleServers), testCase)
{
    constexpr int idle = 0;
    constexpr int crashing = 1;
    constexpr auto listTime = 1s;
    relay_fleet fleet { { .daemons = 3, .servers = 4, .behaviour = { .events = 60, .pause = 50ms } } };
    if (testCase.hasServed) {
        for (int number = 0; number < streams; ++number)
            BOOST_TEST(fleet.call(number % fleet.daemons(), "/read/" + std::to_string(number)).status == 200);
    }
    fleet.list(idle, "draining");
    std::this_thread::sleep_for(listTime);
    const auto startStreams = [&](const std::string& prefix) {
        std::vector<std::future<received_response>> running;
        running.reserve(streams);
        for (int number = 0; number < streams; ++number)
            running.push_back(std::async(std::launch::async, [&fleet, id = prefix + std::to_string(number), number] { return fleet.stream(number % fleet.daemons(), "/resumable-stream/" + id, { .id = id, .key = relay_fleet::key, .timeLeft = 9s }); }));
        return running;
    };
    const auto awaitStreams = [&](std::vector<std::future<received_response>>& running, const std::string& prefix) {
        int complete = 0;
        for (int number = 0; number < streams; ++number) {
            complete += running[static_cast<std::size_t>(number)].get().isComplete ? 1 : 0;
            BOOST_TEST(versionsOf(fleet, { prefix + std::to_string(number) }).size() == 1U);
        }
        return complete;
    };
    const int runsBefore = fleet.server(idle).runs();
    const int allRunsBefore = fleet.runs();
    auto first = startStreams("first");
    BOOST_REQUIRE(waitUntil(1s, [&] { return fleet.runs() - allRunsBefore >= streams; }));
    fleet.list(idle);
    std::this_thread::sleep_for(listTime);
    BOOST_TEST(fleet.server(idle).runs() == runsBefore);
    fleet.server(idle).restart("v2");
    fleet.server(crashing).restart("v2");
    BOOST_TEST(2 * awaitStreams(first, "first") >= streams);
    BOOST_TEST(fleet.server(idle).runs() == runsBefore);
    for (const int server : { idle, crashing })
        fleet.list(server);
    std::this_thread::sleep_for(listTime);
    auto second = startStreams("second");
    BOOST_TEST(awaitStreams(second, "second") == streams);
    BOOST_TEST(fleet.server(idle).runs() > runsBefore);
}
