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

/// The servers before and after all daemons are lost.
struct fleet_loss_case {
    const char* name;
    std::vector<std::string> versions;
    bool isSecondVersionRemoved; ///< Before the daemons are lost.
    bool isStoreRestored; ///< From a copy without any row of the daemons, before they are lost.
    bool goOn;

    friend std::ostream& operator<<(std::ostream& out, const fleet_loss_case& testCase) { return out << testCase.name; }
};

const fleet_loss_case fleetLosses[] {
    { "one version", { "v1" }, false, false, true },
    { "one version, and the store lost the daemons' rows before", { "v1" }, false, true, true },
    { "one version is left of two", { "v1", "v2" }, true, false, false },
    { "two versions", { "v1", "v2" }, false, false, false },
};

} // namespace

// Guards against streams that are refused until their time is over, though one version of the servers has served all the time, and against
// streams that go on at another version.
BOOST_DATA_TEST_CASE(streamsGoOnAfterTheLossOfAllDaemonsIfOneVersionServed, boost::unit_test::data::make(fleetLosses), testCase)
{
    constexpr auto recordTime = 1500ms;
    relay_fleet fleet { { .daemons = 3, .servers = 4, .versions = testCase.versions } };
    fleet.store().takeBackup();
    std::this_thread::sleep_for(recordTime);
    setAll(fleet, { .kind = server_response_kind::Cut });
    std::vector<std::string> positions;
    positions.reserve(streams);
    for (int number = 0; number < streams; ++number)
        positions.push_back(lastEventId(fleet.stream(number % fleet.daemons(), path, { .id = "s" + std::to_string(number), .key = relay_fleet::key, .timeLeft = 9s }).body));
    setAll(fleet, {});
    if (testCase.isSecondVersionRemoved) {
        for (const int server : { 1, 3 })
            fleet.store().unlist(fleet.server(server).id());
        std::this_thread::sleep_for(recordTime);
    }
    if (testCase.isStoreRestored) {
        fleet.store().remove("versions", standinService);
        fleet.store().takeBackup();
        fleet.store().restoreBackup();
        std::this_thread::sleep_for(2 * recordTime);
    }
    kill(fleet, { 0, 1, 2 });
    for (const int daemon : { 0, 1, 2 })
        fleet.restart(daemon);
    for (const int daemon : { 0, 1, 2 })
        BOOST_REQUIRE(fleet.waitReady(daemon));
    int resumed = 0;
    for (int number = 0; number < streams; ++number) {
        const std::string& position = positions[static_cast<std::size_t>(number)];
        BOOST_REQUIRE(!position.empty());
        const received_response response = fleet.stream((number + 1) % fleet.daemons(), path, { .id = "t" + std::to_string(number), .key = relay_fleet::key, .timeLeft = 9s, .resumes = "s" + std::to_string(number), .lastEventId = position });
        resumed += response.status == 200 && response.isComplete ? 1 : 0;
        BOOST_TEST(versionsOf(fleet, number).size() == 1U);
    }
    BOOST_TEST_MESSAGE(testCase.name << ": " << resumed << " of " << streams << " streams went on");
    BOOST_TEST(resumed == (testCase.goOn ? streams : 0));
}
