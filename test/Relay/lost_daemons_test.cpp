// Tests what holds after all daemons of a fleet are lost at the same moment.
#include "relay_fleet.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <csignal>
#include <ostream>
#include <set>
#include <string>
#include <thread>
#include <vector>

using namespace radishflow;
using namespace std::chrono_literals;

namespace {

constexpr int streams = 24;
constexpr const char* path = "/resumable-stream/a";

void kill(relay_fleet& fleet, const std::set<int>& daemons)
{
    for (const int daemon : daemons)
        fleet.daemon(daemon).signal(SIGKILL);
    for (const int daemon : daemons)
        fleet.daemon(daemon).wait(1s);
}

void setAll(relay_fleet& fleet, const server_behaviour& behaviour)
{
    for (int server = 0; server < fleet.servers(); ++server)
        fleet.server(server).setBehaviour(behaviour);
}

std::string lastEventId(const std::string& body)
{
    const auto complete = body.rfind("\n\n");
    const auto start = body.rfind("id: ", complete);
    return complete == std::string::npos ? "" : body.substr(start + 4, body.find('\n', start) - start - 4);
}

std::set<std::string> versionsOf(relay_fleet& fleet, int number)
{
    std::set<std::string> versions;
    for (int server = 0; server < fleet.servers(); ++server) {
        for (const received_request& received : fleet.server(server).seen()) {
            if (received.id == "s" + std::to_string(number) || received.id == "t" + std::to_string(number))
                versions.insert(received.version);
        }
    }
    return versions;
}

enum class store_trouble {
    None,
    LosesRows, ///< Comes back from a copy without any row of the daemons, before they are lost.
    AwayAsStreamsBegin,
    AwayAsDaemonsStart,
};

/// The servers before and after all daemons are lost.
struct fleet_loss_case {
    const char* name;
    int daemons;
    std::vector<std::string> versions; ///< Of the servers, in turn.
    bool isSecondVersionRemoved; ///< Before the daemons are lost.
    store_trouble store;
    std::set<std::string> resumableVersions; ///< At which streams go on.

    friend std::ostream& operator<<(std::ostream& out, const fleet_loss_case& testCase) { return out << testCase.name; }
};

const fleet_loss_case fleetLosses[] {
    { "one version", 3, { "v1" }, false, store_trouble::None, { "v1" } },
    { "one version, and the store lost the daemons' rows before", 3, { "v1" }, false, store_trouble::LosesRows, { "v1" } },
    { "one version is left of two", 3, { "v1", "v2" }, true, store_trouble::None, { "v1" } },
    { "two versions", 3, { "v1", "v2" }, false, store_trouble::None, { "v1", "v2" } },
    { "five servers of one version and one of another", 3, { "v1", "v1", "v1", "v1", "v1", "v2" }, false, store_trouble::None, { "v1", "v2" } },
    { "two versions, more daemons than hold each origin", 12, { "v1", "v2" }, false, store_trouble::None, { "v1", "v2" } },
    { "two versions, and the store lost the daemons' rows before", 3, { "v1", "v2" }, false, store_trouble::LosesRows, { "v1", "v2" } },
    { "two versions, the store away as the streams begin", 3, { "v1", "v2" }, false, store_trouble::AwayAsStreamsBegin, { "v1", "v2" } },
    { "two versions, the store away as the daemons start", 3, { "v1", "v2" }, false, store_trouble::AwayAsDaemonsStart, { "v1", "v2" } },
};

} // namespace

// Guards against streams that are refused until their time is over after the loss of all daemons, whether one version of the servers has
// served or two, and against streams that go on at another version.
BOOST_DATA_TEST_CASE(streamsGoOnAfterTheLossOfAllDaemons, boost::unit_test::data::make(fleetLosses), testCase)
{
    constexpr auto recordTime = 1500ms;
    constexpr auto awayTime = 2s;
    relay_fleet fleet { { .daemons = testCase.daemons, .servers = 6, .versions = testCase.versions } };
    fleet.store().takeBackup();
    std::this_thread::sleep_for(recordTime);
    fleet.store().setUnreachable(testCase.store == store_trouble::AwayAsStreamsBegin);
    setAll(fleet, { .kind = server_response_kind::Cut });
    std::vector<std::string> positions;
    positions.reserve(streams);
    for (int number = 0; number < streams; ++number)
        positions.push_back(lastEventId(fleet.stream(number % fleet.daemons(), path, { .id = "s" + std::to_string(number), .key = relay_fleet::key, .timeLeft = 9s }).body));
    setAll(fleet, {});
    fleet.store().setUnreachable(false);
    std::this_thread::sleep_for(testCase.store == store_trouble::AwayAsStreamsBegin ? 2 * recordTime : recordTime);
    if (testCase.isSecondVersionRemoved) {
        for (const int server : { 1, 3, 5 })
            fleet.store().unlist(fleet.server(server).id());
        std::this_thread::sleep_for(recordTime);
    }
    if (testCase.store == store_trouble::LosesRows) {
        fleet.store().remove("versions", standinService);
        fleet.store().removeAll("stream-origins");
        fleet.store().takeBackup();
        fleet.store().restoreBackup();
        std::this_thread::sleep_for(2 * recordTime);
    }
    std::set<int> all;
    for (int daemon = 0; daemon < fleet.daemons(); ++daemon)
        all.insert(daemon);
    kill(fleet, all);
    fleet.store().setUnreachable(testCase.store == store_trouble::AwayAsDaemonsStart);
    for (const int daemon : all)
        fleet.restart(daemon);
    if (testCase.store == store_trouble::AwayAsDaemonsStart)
        std::this_thread::sleep_for(awayTime);
    fleet.store().setUnreachable(false);
    for (const int daemon : all)
        BOOST_REQUIRE(fleet.waitReady(daemon));
    int resumable = 0;
    int resumed = 0;
    for (int number = 0; number < streams; ++number) {
        const std::string& position = positions[static_cast<std::size_t>(number)];
        const auto began = versionsOf(fleet, number);
        BOOST_REQUIRE(began.size() == 1U);
        resumable += testCase.resumableVersions.contains(*began.begin()) ? 1 : 0;
        BOOST_REQUIRE(!position.empty());
        const received_response response = fleet.stream((number + 1) % fleet.daemons(), path, { .id = "t" + std::to_string(number), .key = relay_fleet::key, .timeLeft = 9s, .resumes = "s" + std::to_string(number), .lastEventId = position });
        resumed += response.status == 200 && response.isComplete ? 1 : 0;
        BOOST_TEST(versionsOf(fleet, number).size() == 1U);
    }
    BOOST_TEST_MESSAGE(testCase.name << ": " << resumed << " of " << resumable << " streams went on");
    BOOST_TEST(resumed == resumable);
}
