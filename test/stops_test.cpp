// Tests that planned stops cut nothing: rolling replacement of daemons and leaving backend servers under load.
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

/// Callers that ask for addresses, keep them as long as they may, and send chats without a pause.
class steady_callers {
public:
    steady_callers(std::vector<std::string> addresses, int callers)
        : m_known(std::move(addresses))
    {
        for (int caller = 0; caller < callers; ++caller)
            m_threads.emplace_back([this, caller] { run(caller); });
    }

    void stop()
    {
        m_isDone = true;
        for (std::thread& thread : m_threads)
            thread.join();
        m_threads.clear();
    }

    int sent() const { return m_sent; }
    int whole() const { return m_whole; }
    const std::vector<std::string>& problems() const { return m_problems; }

    /// Callers take their addresses from here, since the fleet's own list changes under them.
    void setAddresses(std::vector<std::string> addresses)
    {
        const std::lock_guard lock { m_mutex };
        m_known = std::move(addresses);
    }

private:
    std::string ask(int caller)
    {
        std::vector<std::string> known;
        {
            const std::lock_guard lock { m_mutex };
            known = m_known;
        }
        for (const std::string& address : known) {
            const http_call_reply reply = httpCall({ .url = "http://" + address + "/v1/addresses?zone=z" + std::string(1, static_cast<char>('a' + caller % 3)), .timeout = milliseconds { 1000 } });
            const std::size_t place = reply.body.find("\"address\"");
            if (reply.status != 200 || place == std::string::npos)
                continue;
            const std::size_t begin = reply.body.find('"', reply.body.find(':', place)) + 1;
            return reply.body.substr(begin, reply.body.find('"', begin) - begin);
        }
        return {};
    }

    void run(int caller)
    {
        std::string address;
        auto askedAt = std::chrono::steady_clock::time_point {};
        for (int turn = 0; !m_isDone; ++turn) {
            if (std::chrono::steady_clock::now() - askedAt > milliseconds { 1900 }) {
                address = ask(caller);
                askedAt = std::chrono::steady_clock::now();
            }
            const std::string prompt = "turn " + std::to_string(caller) + "/" + std::to_string(turn);
            ++m_sent;
            const http_call_reply reply = httpCall({ .method = "POST", .url = "http://" + address + "/v1/chat/completions", .headers = { { "X-Workspace", "desk" }, { "X-Chat", std::to_string(caller) } }, .body = chatBody(prompt, 10, false), .timeout = milliseconds { 8000 } });
            if (reply.status == 200 && contentOf(reply.body) == expectedAnswer("hydro-large", prompt, 10)) {
                ++m_whole;
                continue;
            }
            const std::lock_guard lock { m_mutex };
            m_problems.push_back(address + " " + std::to_string(reply.status) + " " + reply.error + reply.body.substr(0, 200));
        }
    }

    std::mutex m_mutex;
    std::vector<std::string> m_known;
    std::vector<std::string> m_problems;
    std::atomic<bool> m_isDone = false;
    std::atomic<int> m_sent = 0;
    std::atomic<int> m_whole = 0;
    std::vector<std::thread> m_threads;
};

static std::vector<std::string> addressesOf(test_fleet& fleet)
{
    std::vector<std::string> addresses;
    for (const fleet_member& daemon : fleet.daemons())
        addresses.push_back(daemon.http);
    return addresses;
}

static const test_fleet_options stopFleet { .daemons = 4, .engines = 4, .plains = 0, .daemonArguments = { "--address_keep_seconds=2", "--drain_seconds=30" }, .serverLimit = 16, .loadMultiple = "2" };

BOOST_AUTO_TEST_CASE(rollingReplacementOfDaemonsCutsNothing)
{
    test_fleet fleet { stopFleet };
    BOOST_REQUIRE(fleet.isReady());
    steady_callers callers { addressesOf(fleet), 4 };
    std::this_thread::sleep_for(milliseconds { 1000 });
    for (std::size_t index = 0; index < 2; ++index) {
        fleet.daemons()[index].process->signal(SIGTERM);
        const std::optional<int> status = fleet.daemons()[index].process->wait(milliseconds { 25000 });
        BOOST_TEST(status.has_value());
        BOOST_TEST(status.value_or(-1) == 0);
        fleet.restartDaemon(index);
        callers.setAddresses(addressesOf(fleet));
        std::this_thread::sleep_for(milliseconds { 2500 });
    }
    callers.stop();
    BOOST_TEST(callers.sent() > 40);
    BOOST_TEST(callers.whole() == callers.sent());
    for (const std::string& problem : callers.problems())
        BOOST_TEST_MESSAGE(problem);
}

BOOST_AUTO_TEST_CASE(leavingServerGetsNoNewWorkAfterSeconds)
{
    test_fleet fleet { stopFleet };
    BOOST_REQUIRE(fleet.isReady());
    steady_callers callers { addressesOf(fleet), 4 };
    std::this_thread::sleep_for(milliseconds { 1000 });
    fleet.engines()[0].state = "leaving";
    fleet.listHosts();
    std::this_thread::sleep_for(milliseconds { 5000 });
    const std::string before = test_fleet::record(fleet.engines()[0].target);
    std::this_thread::sleep_for(milliseconds { 3000 });
    const std::string after = test_fleet::record(fleet.engines()[0].target);
    callers.stop();
    BOOST_TEST(before == after);
    BOOST_TEST(callers.whole() == callers.sent());
    for (const std::string& problem : callers.problems())
        BOOST_TEST_MESSAGE(problem);
}

BOOST_AUTO_TEST_CASE(stopWhileTheTableIsDarkDoesNotWaitForTheRelease)
{
    test_fleet fleet { { .daemons = 2, .engines = 2, .plains = 0, .daemonArguments = { "--address_keep_seconds=1", "--drain_seconds=60" } } };
    BOOST_REQUIRE(fleet.isReady());
    test_fleet::setFaults(fleet.platformControl(), R"({"down":"refuse"})");
    fleet.daemons()[0].process->signal(SIGTERM);
    // One second that callers keep the address, one to spread, five for the release, and a margin.
    const std::optional<int> status = fleet.daemons()[0].process->wait(milliseconds { 15000 });
    BOOST_TEST(status.value_or(-1) == 0);
}
