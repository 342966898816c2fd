// Tests that requests with a prompt part that crashes servers reach no further servers, and that sound requests which share their
// caller and their other parts are served.
#include "relay_fleet.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <atomic>
#include <csignal>
#include <functional>
#include <ostream>
#include <thread>
#include <utility>
#include <vector>

using namespace radishflow;
using namespace std::chrono_literals;

namespace {

constexpr auto contactTime = 3000ms; ///< Time after the fifth crash from which the platform counts sends.
constexpr int crashesBeforeContactTime = 5;
constexpr int maxLaterSends = 3;
constexpr auto crashInterval = 450ms;
constexpr const char* sharedPart = "f1"; ///< First part of all requests.
constexpr const char* crashingPart = "bad";
constexpr const char* crashingIdPrefix = "crash";
constexpr int servers = 12;
constexpr auto responseTimeout = 60s; ///< Only ends a test that would hang.

/// What happens between the crashes and the later sends.
struct disturbance_case {
    const char* name;
    int daemons;
    const char* path;
    bool isUnframed;
    std::function<void(relay_fleet&)> disturb;
    bool isPaused = false; ///< Whether the last daemon is paused during the crashes.
};

std::ostream& operator<<(std::ostream& out, const disturbance_case& testCase) { return out << testCase.name; }

void restartAll(relay_fleet& fleet)
{
    for (int daemon = 0; daemon < fleet.daemons(); ++daemon) {
        fleet.daemon(daemon).signal(SIGKILL);
        fleet.daemon(daemon).wait(1s);
    }
    for (int daemon = 0; daemon < fleet.daemons(); ++daemon)
        fleet.restart(daemon);
    for (int daemon = 0; daemon < fleet.daemons(); ++daemon)
        BOOST_REQUIRE(fleet.waitReady(daemon));
}

void nothing(relay_fleet&) { }

const disturbance_case disturbances[] {
    { "streams", 3, "/stream/a", false, nothing },
    { "resumable streams", 3, "/resumable-stream/a", false, nothing },
    { "streams that end with their connections", 3, "/stream/a", true, nothing },
    { "many daemons", 20, "/stream/a", false, nothing },
    { "all daemons restarted", 3, "/stream/a", false, restartAll },
    { "last daemon paused", 3, "/stream/a", false, [](relay_fleet& fleet) { fleet.daemon(fleet.daemons() - 1).signal(SIGCONT); }, true },
};

/// Lists the processes of servers that have restarted, as the servers themselves do, until it is destroyed.
class server_lister {
public:
    explicit server_lister(relay_fleet& fleet)
        : m_thread([this, &fleet] {
            std::vector<std::string> entries(static_cast<std::size_t>(fleet.servers()));
            while (!m_isStopping) {
                for (int server = 0; server < fleet.servers(); ++server) {
                    const std::string entry = fleet.server(server).entry();
                    if (std::exchange(entries[static_cast<std::size_t>(server)], entry) != entry)
                        fleet.list(server);
                }
                std::this_thread::sleep_for(100ms);
            }
        })
    {
    }
    ~server_lister()
    {
        m_isStopping = true;
        m_thread.join();
    }

private:
    std::atomic<bool> m_isStopping = false;
    std::thread m_thread;
};

/// Callers at all daemons whose requests share all parts with the crashing ones but the crashing part and the last.
class sound_callers {
public:
    sound_callers(relay_fleet& fleet, const char* path)
    {
        for (int daemon = 0; daemon < fleet.daemons(); ++daemon)
            m_threads.emplace_back([this, &fleet, path, daemon] { run(fleet, path, daemon); });
    }
    ~sound_callers()
    {
        m_isStopping = true;
        for (std::thread& thread : m_threads)
            thread.join();
    }

    void reset()
    {
        m_sent = 0;
        m_served = 0;
    }
    int sent() const { return m_sent; }
    int served() const { return m_served; }

private:
    void run(relay_fleet& fleet, const char* path, int daemon)
    {
        for (int number = 0; !m_isStopping; ++number) {
            const std::string id = "sound" + std::to_string(daemon) + "x" + std::to_string(number);
            const std::string subject = std::to_string(20 + number % 4);
            const int sentBefore = ++m_sent;
            caller_connection connection;
            if (!connection.open(fleet.callerAddress(daemon))) { // The daemon is being restarted.
                std::this_thread::sleep_for(30ms);
                continue;
            }
            const std::string head = writeRequestHead(std::string { "GET " } + path + id + " HTTP/1.1", { .id = id, .key = relay_fleet::key, .timeLeft = 5000ms, .prompt = std::string { sharedPart } + ":100," + subject + ":50," + std::to_string(1000 + sentBefore) + ":10" }, false);
            const received_response response = connection.run(head, responseTimeout);
            m_served += response.status == 200 && response.isComplete ? 1 : 0;
            std::this_thread::sleep_for(30ms);
        }
    }

    std::atomic<bool> m_isStopping = false;
    std::atomic<int> m_sent = 0;
    std::atomic<int> m_served = 0;
    std::vector<std::thread> m_threads;
};

int crashingRuns(relay_fleet& fleet)
{
    int runs = 0;
    for (int server = 0; server < fleet.servers(); ++server) {
        for (const received_request& received : fleet.server(server).seen())
            runs += received.id.starts_with(crashingIdPrefix) ? 1 : 0;
    }
    return runs;
}

// No two requests are alike, in their targets and in their other parts.
void sendCrashing(relay_fleet& fleet, const char* path, int number, int daemons)
{
    const std::string id = crashingIdPrefix + std::to_string(number);
    const std::string subject = std::to_string(20 + number % 4);
    fleet.stream(number % daemons, path + id, { .id = id, .key = relay_fleet::key, .timeLeft = 5000ms, .prompt = std::string { sharedPart } + ":100," + subject + ":50," + crashingPart + ":70," + std::to_string(9000 + number) + ":10" });
}

} // namespace

BOOST_DATA_TEST_CASE(requestsWithAPartThatCrashesServersAreRefusedAndSoundOnesServed, boost::unit_test::data::make(disturbances), testCase)
{
    constexpr int maxSends = 40;
    constexpr int laterSends = 24;
    relay_fleet fleet { { .daemons = testCase.daemons, .servers = servers } };
    for (int server = 0; server < servers; ++server)
        fleet.server(server).setBehaviour({ .crashingPart = crashingPart, .isUnframed = testCase.isUnframed, .pause = 20ms });
    const server_lister lister { fleet };
    sound_callers callers { fleet, testCase.path };
    std::this_thread::sleep_for(1s);
    if (testCase.isPaused)
        fleet.daemon(fleet.daemons() - 1).signal(SIGSTOP);
    int sends = 0;
    while (sends < maxSends && crashingRuns(fleet) < crashesBeforeContactTime) {
        sendCrashing(fleet, testCase.path, sends++, fleet.daemons() - (testCase.isPaused ? 1 : 0));
        std::this_thread::sleep_for(crashInterval);
    }
    testCase.disturb(fleet);
    std::this_thread::sleep_for(contactTime);
    const int runsBefore = crashingRuns(fleet);
    callers.reset();
    for (int send = 0; send < laterSends; ++send) {
        sendCrashing(fleet, testCase.path, sends++, fleet.daemons());
        std::this_thread::sleep_for(100ms);
    }
    BOOST_TEST(crashingRuns(fleet) - runsBefore <= maxLaterSends);
    BOOST_TEST(callers.sent() >= 20);
    BOOST_TEST(2 * callers.served() >= callers.sent());
}
