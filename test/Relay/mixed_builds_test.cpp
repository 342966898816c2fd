// Tests that daemons of an earlier build and of this one read each other's messages and rows, and that replacing one by the other
// interrupts no request.
#include "relay_fleet.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <atomic>
#include <csignal>
#include <functional>
#include <ostream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

using namespace radishflow;
using namespace std::chrono_literals;

namespace {

const std::string earlierProgram { RADISHFLOW_EARLIER_PROGRAM };

constexpr int sender = 0;
constexpr int receiver = 1;
constexpr auto exchangeTime = 1500ms; ///< Within which messages between daemons and changes of rows arrive.
constexpr auto crashLength = 400ms; ///< Longer than a stand-in refuses connections after a crash.
constexpr const char* crashingPath = "/order/crash";
constexpr const char* crashingPrompt = "f1:100,bad:100,77:10";

/// Builds of the sender and the receiver.
enum class direction {
    EarlierToCurrent,
    CurrentToEarlier,
};

/// Something that one daemon learns and another one has to know then.
struct exchange_case {
    const char* name;
    relay_fleet_options options;
    std::function<void(relay_fleet&)> learn; ///< At the sender.
    std::function<bool(relay_fleet&)> isKnown; ///< At the receiver.

    friend std::ostream& operator<<(std::ostream& out, const exchange_case& testCase) { return out << testCase.name; }
};

void setAll(relay_fleet& fleet, const server_behaviour& behaviour)
{
    for (int server = 0; server < fleet.servers(); ++server)
        fleet.server(server).setBehaviour(behaviour);
}

int statusOf(relay_fleet& fleet, int daemon, const std::string& id, const std::string& prompt)
{
    return httpCall({ .method = "POST", .url = "http://" + fleet.callerAddress(daemon) + crashingPath, .headers = headersOf({ .id = id, .key = relay_fleet::key, .timeLeft = 4s, .prompt = prompt }), .body = prompt.empty() ? "crashes" : id }).status;
}

/// Sends requests that crash their servers, which are listed again at once and accept requests again before the next one.
void crashServers(relay_fleet& fleet, const server_behaviour& behaviour, int count, const std::string& prompt)
{
    setAll(fleet, behaviour);
    for (int crash = 0; crash < count; ++crash) {
        statusOf(fleet, sender, "crash" + std::to_string(crash), prompt);
        for (int server = 0; server < fleet.servers(); ++server)
            fleet.list(server);
        std::this_thread::sleep_for(crashLength);
    }
}

void crashByRequest(relay_fleet& fleet)
{
    crashServers(fleet, { .kind = server_response_kind::Crash, .crashingTarget = crashingPath }, 2, {});
}

void crashByPart(relay_fleet& fleet)
{
    crashServers(fleet, { .kind = server_response_kind::Crash, .crashingPart = "bad" }, 4, crashingPrompt);
}

void restartReceiver(relay_fleet& fleet)
{
    fleet.daemon(receiver).signal(SIGKILL);
    fleet.daemon(receiver).wait(1s);
    fleet.restart(receiver);
    BOOST_REQUIRE(fleet.waitReady(receiver));
}

bool isCrashingRequestRefused(relay_fleet& fleet) { return statusOf(fleet, receiver, "later", {}) == 503; }

bool isCrashingPartRefused(relay_fleet& fleet) { return statusOf(fleet, receiver, "later", crashingPrompt) == 503; }

const exchange_case exchanges[] {
    { "membership: a daemon that stops leaves", {}, [](relay_fleet& fleet) { fleet.daemon(sender).signal(SIGTERM); },
        [](relay_fleet& fleet) { return fleet.lookUp(receiver) == std::vector { fleet.callerAddress(receiver) }; } },
    { "hints: crashes of a request", { .servers = 6 }, crashByRequest, isCrashingRequestRefused },
    { "rows: crashes of a request", { .servers = 6 }, [](relay_fleet& fleet) {
         crashByRequest(fleet);
         std::this_thread::sleep_for(exchangeTime);
         restartReceiver(fleet); }, isCrashingRequestRefused },
    { "hints: crashes of a prompt part", { .servers = 6 }, crashByPart, isCrashingPartRefused },
    { "rows: crashes of a prompt part", { .servers = 6 }, [](relay_fleet& fleet) {
         crashByPart(fleet);
         std::this_thread::sleep_for(exchangeTime);
         restartReceiver(fleet); }, isCrashingPartRefused },
    { "hints: request limits of servers", {}, [](relay_fleet& fleet) {
         setAll(fleet, { .requestLimit = "5" });
         for (int call = 0; call < 9; ++call)
             fleet.call(sender, "/read/a"); }, [](relay_fleet& fleet) { return fleet.metric(receiver, "radishflow_state{name=\"limited_servers\"}") > 0; } },
    { "origins of streams", { .servers = 4, .versions = { "v1", "v2" } }, [](relay_fleet& fleet) {
         setAll(fleet, { .kind = server_response_kind::Cut });
         fleet.stream(sender, "/resumable-stream/a", { .id = "s", .key = relay_fleet::key, .timeLeft = 9s });
         setAll(fleet, {}); }, [](relay_fleet& fleet) { return fleet.stream(receiver, "/resumable-stream/a", { .id = "t", .key = relay_fleet::key, .timeLeft = 9s, .resumes = "s", .lastEventId = "2" }).status == 200; } },
    { "changes of tables: a daemon without the store follows", { .isProxied = true }, [](relay_fleet& fleet) {
         fleet.storeLink(receiver).set(R"({"cut":true})");
         fleet.configure(2); }, [](relay_fleet& fleet) { return fleet.call(receiver, "/v2/a", "GET", {}).status == 200; } },
    { "forwarded requests", { .hasServerPaths = true }, [](relay_fleet& fleet) { fleet.setServerPaths(receiver, path_state::Reset); },
        [](relay_fleet& fleet) { return waitUntil(3s, [&] { return fleet.call(receiver, "/order/a", "POST").status == 200; }); } },
};

} // namespace

// Guards against messages and rows of one build that the other does not read.
BOOST_DATA_TEST_CASE(buildsReadEachOthersMessagesAndRows, boost::unit_test::data::make(exchanges) * boost::unit_test::data::make({ 0, 1 }), testCase, order)
{
    const auto way = static_cast<direction>(order);
    relay_fleet_options options = testCase.options;
    options.programs = { earlierProgram, relay_fleet::currentProgram() };
    if (way == direction::CurrentToEarlier)
        std::swap(options.programs[sender], options.programs[receiver]);
    relay_fleet fleet { options };
    testCase.learn(fleet);
    std::this_thread::sleep_for(exchangeTime);
    BOOST_TEST(testCase.isKnown(fleet), testCase.name << (way == direction::EarlierToCurrent ? ", from the earlier build" : ", from the current build"));
}

namespace {

/// Callers of all kinds of requests at all daemons in turn, until they are destroyed.
class mixed_callers {
public:
    mixed_callers(relay_fleet& fleet, int count)
        : m_fleet(fleet)
    {
        for (int caller = 0; caller < count; ++caller)
            m_threads.emplace_back([this, caller] { run(caller); });
    }
    ~mixed_callers() { finish(); }

    void finish()
    {
        m_isStopping = true;
        for (std::thread& thread : m_threads)
            thread.join();
        m_threads.clear();
    }

    int sent() const { return m_sent; }
    int served() const { return m_served; }

private:
    void run(int caller)
    {
        static constexpr const char* paths[] { "/order/a", "/read/a", "/resumable-stream/a" };
        constexpr int maxTries = 3;
        constexpr auto sendInterval = 30ms;
        for (int number = caller; !m_isStopping; ++number) {
            ++m_sent;
            for (int attempt = 0; attempt < maxTries; ++attempt) {
                const int daemon = (number + attempt) % m_fleet.daemons();
                const std::string id = "m" + std::to_string(caller) + '-' + std::to_string(number) + '-' + std::to_string(attempt);
                if (isServed(daemon, paths[number % 3], id)) {
                    ++m_served;
                    break;
                }
            }
            std::this_thread::sleep_for(sendInterval);
        }
    }

    // A daemon that is being replaced refuses connections, so its callers go to another one.
    bool isServed(int daemon, const std::string& path, const std::string& id)
    {
        caller_connection connection;
        if (!connection.open(m_fleet.callerAddress(daemon)))
            return false;
        const std::string method = path.starts_with("/order") ? "POST " : "GET ";
        const received_response response = connection.run(writeRequestHead(method + path + " HTTP/1.1", { .id = id, .key = relay_fleet::key, .timeLeft = 4s }), 5s);
        return response.status == 200 && response.isComplete;
    }

    relay_fleet& m_fleet;
    std::atomic<bool> m_isStopping = false;
    std::atomic<int> m_sent = 0;
    std::atomic<int> m_served = 0;
    std::vector<std::thread> m_threads;
};

} // namespace

// Guards against requests that are lost while daemons of one build are replaced by those of the other, or back.
BOOST_DATA_TEST_CASE(replacingDaemonsOneByOneInterruptsNoRequest, boost::unit_test::data::make({ 0, 1 }), order)
{
    constexpr int callers = 9;
    const bool isUpgrade = static_cast<direction>(order) == direction::EarlierToCurrent;
    const std::string from = isUpgrade ? earlierProgram : relay_fleet::currentProgram();
    const std::string to = isUpgrade ? relay_fleet::currentProgram() : earlierProgram;
    relay_fleet fleet { { .daemons = 3, .servers = 4, .versions = { "v1", "v2" }, .programs = { from } } };
    mixed_callers load { fleet, callers };
    std::this_thread::sleep_for(1s);
    for (int daemon = 0; daemon < fleet.daemons(); ++daemon) {
        fleet.daemon(daemon).signal(SIGTERM);
        fleet.configure(2 + daemon); // A change while both builds serve.
        BOOST_TEST(fleet.daemon(daemon).wait(relay_fleet::stopGrace).value_or(-1) == 0);
        fleet.setProgram(daemon, to);
        fleet.restart(daemon);
        BOOST_REQUIRE(fleet.waitReady(daemon));
        std::this_thread::sleep_for(500ms);
    }
    load.finish();
    BOOST_TEST_MESSAGE((isUpgrade ? "upgrade: " : "back: ") << load.served() << " of " << load.sent() << " served");
    BOOST_TEST(load.served() == load.sent());
    BOOST_TEST(fleet.ordersRunTwice() == 0);
    for (int daemon = 0; daemon < fleet.daemons(); ++daemon) {
        BOOST_TEST(fleet.lookUp(daemon).size() == 3U);
        BOOST_TEST(fleet.call(daemon, "/v4/a", "GET", {}).status == 200);
    }
}
