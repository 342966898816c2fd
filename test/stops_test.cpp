// Tests that planned stops under load interrupt no request: rolling replacement of daemons, and backend servers that are
// leaving.
#include "radishflow/Emulator/expected_answer.h"

#include "test_fleet.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <csignal>
#include <mutex>
#include <thread>
#include <vector>

using namespace radishflow;
using std::chrono::milliseconds;

/// Callers that request daemon addresses, use them for almost the permitted time (--address_keep_seconds) and send chats
/// without a pause.
class continuous_callers {
public:
    continuous_callers(std::vector<std::string> addresses, int callers)
        : m_daemonAddresses(std::move(addresses))
    {
        for (int caller = 0; caller < callers; ++caller)
            m_threads.emplace_back([this, caller] { run(caller); });
    }

    void stop()
    {
        m_isStopping = true;
        for (std::thread& thread : m_threads)
            thread.join();
        m_threads.clear();
    }

    int sent() const { return m_sent; }
    int correctResponses() const { return m_correctResponses; }
    const std::vector<std::string>& problems() const { return m_problems; }

    /// Sets the daemons that callers request addresses from. The callers use this copy, since the fleet's own list changes
    /// concurrently.
    void setDaemonAddresses(std::vector<std::string> addresses)
    {
        const std::lock_guard lock { m_mutex };
        m_daemonAddresses = std::move(addresses);
    }

private:
    std::string requestAddress(int caller)
    {
        std::vector<std::string> daemonAddresses;
        {
            const std::lock_guard lock { m_mutex };
            daemonAddresses = m_daemonAddresses;
        }
        for (const std::string& address : daemonAddresses) {
            const http_call_reply reply = httpCall({ .url = "http://" + address + "/v1/addresses?zone=z" + std::string(1, static_cast<char>('a' + caller % 3)), .timeout = milliseconds { 1000 } });
            const std::size_t position = reply.body.find("\"address\"");
            if (reply.status != 200 || position == std::string::npos)
                continue;
            const std::size_t begin = reply.body.find('"', reply.body.find(':', position)) + 1;
            return reply.body.substr(begin, reply.body.find('"', begin) - begin);
        }
        return {};
    }

    void run(int caller)
    {
        std::string address;
        auto requestedAt = std::chrono::steady_clock::time_point {};
        for (int turn = 0; !m_isStopping; ++turn) {
            if (std::chrono::steady_clock::now() - requestedAt > milliseconds { 1900 }) {
                address = requestAddress(caller);
                requestedAt = std::chrono::steady_clock::now();
            }
            const std::string prompt = "turn " + std::to_string(caller) + "/" + std::to_string(turn);
            ++m_sent;
            const http_call_reply reply = httpCall({ .method = "POST", .url = "http://" + address + "/v1/chat/completions", .headers = { { "X-Workspace", "desk" }, { "X-Chat", std::to_string(caller) } }, .body = chatBody(prompt, 10, false), .timeout = milliseconds { 8000 } });
            if (reply.status == 200 && contentOf(reply.body) == expectedAnswer("hydro-large", prompt, 10)) {
                ++m_correctResponses;
                continue;
            }
            const std::lock_guard lock { m_mutex };
            m_problems.push_back(address + " " + std::to_string(reply.status) + " " + reply.error + reply.body.substr(0, 200));
        }
    }

    std::mutex m_mutex;
    std::vector<std::string> m_daemonAddresses;
    std::vector<std::string> m_problems;
    std::atomic<bool> m_isStopping = false;
    std::atomic<int> m_sent = 0;
    std::atomic<int> m_correctResponses = 0;
    std::vector<std::thread> m_threads;
};

static std::vector<std::string> daemonAddressesOf(test_fleet& fleet)
{
    std::vector<std::string> addresses;
    for (const fleet_member& daemon : fleet.daemons())
        addresses.push_back(daemon.http);
    return addresses;
}

static const test_fleet_options stopFleet { .daemons = 4, .engines = 4, .plains = 0, .daemonArguments = { "--address_keep_seconds=2", "--drain_seconds=30" }, .serverLimit = 16, .loadMultiple = "2" };

BOOST_AUTO_TEST_CASE(rollingReplacementOfDaemonsInterruptsNoRequest)
{
    test_fleet fleet { stopFleet };
    BOOST_REQUIRE(fleet.isReady());
    continuous_callers callers { daemonAddressesOf(fleet), 4 };
    std::this_thread::sleep_for(milliseconds { 1000 });
    for (std::size_t index = 0; index < 2; ++index) {
        fleet.daemons()[index].process->signal(SIGTERM);
        const std::optional<int> status = fleet.daemons()[index].process->wait(milliseconds { 25000 });
        BOOST_TEST(status.has_value());
        BOOST_TEST(status.value_or(-1) == 0);
        fleet.restartDaemon(index);
        callers.setDaemonAddresses(daemonAddressesOf(fleet));
        std::this_thread::sleep_for(milliseconds { 2500 });
    }
    callers.stop();
    BOOST_TEST(callers.sent() > 40);
    BOOST_TEST(callers.correctResponses() == callers.sent());
    for (const std::string& problem : callers.problems())
        BOOST_TEST_MESSAGE(problem);
}

BOOST_AUTO_TEST_CASE(leavingServerGetsNoNewRequestsAfterFiveSeconds)
{
    test_fleet fleet { stopFleet };
    BOOST_REQUIRE(fleet.isReady());
    continuous_callers callers { daemonAddressesOf(fleet), 4 };
    std::this_thread::sleep_for(milliseconds { 1000 });
    fleet.engines()[0].state = "leaving";
    fleet.listHosts();
    std::this_thread::sleep_for(milliseconds { 5000 });
    const std::string recordBefore = test_fleet::record(fleet.engines()[0].target);
    std::this_thread::sleep_for(milliseconds { 3000 });
    const std::string recordAfter = test_fleet::record(fleet.engines()[0].target);
    callers.stop();
    BOOST_TEST(recordBefore == recordAfter);
    BOOST_TEST(callers.correctResponses() == callers.sent());
    for (const std::string& problem : callers.problems())
        BOOST_TEST_MESSAGE(problem);
}

BOOST_AUTO_TEST_CASE(stopWhileTheStoreIsUnreachableDoesNotWaitUntilOwnershipIsReleased)
{
    test_fleet fleet { { .daemons = 2, .engines = 2, .plains = 0, .daemonArguments = { "--address_keep_seconds=1", "--drain_seconds=60" } } };
    BOOST_REQUIRE(fleet.isReady());
    test_fleet::setFaults(fleet.platformControl(), R"({"down":"refuse"})");
    fleet.daemons()[0].process->signal(SIGTERM);
    // One second while callers may use the address, one to propagate the stop, five for the release, and a margin.
    const std::optional<int> status = fleet.daemons()[0].process->wait(milliseconds { 15000 });
    BOOST_TEST(status.value_or(-1) == 0);
}
