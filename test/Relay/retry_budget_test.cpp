// Tests that the resends of all daemons stay within the fleet's retry budget, also while daemons restart.
#include "relay_fleet.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <map>
#include <mutex>
#include <ostream>
#include <thread>
#include <vector>

using namespace radishflow;
using namespace std::chrono_literals;

namespace {

using steady_time = std::chrono::steady_clock::time_point;

// As in the settings that relay_fleet writes, and the platform's window.
constexpr double ratio = 0.2;
constexpr double slack = 54;
constexpr auto window = 10s;

constexpr int daemons = 6;
constexpr int callers = 12;
constexpr auto callInterval = 300ms;
constexpr auto restartInterval = 2500ms;

struct restart_case {
    const char* name;
    int rounds; ///< Number of times that daemons are killed and started again.
    bool killsAll; ///< Whether all daemons are killed together instead of one after the other.
};

std::ostream& operator<<(std::ostream& out, const restart_case& testCase) { return out << testCase.name; }

const restart_case restarts[] {
    { "no restart", 0, false },
    { "all daemons restart", 3, true },
    { "single daemons restart", 3, false },
};

void restartDaemons(relay_fleet& fleet, const restart_case& testCase, int round)
{
    for (int daemon = 0; daemon < daemons; ++daemon) {
        if (!testCase.killsAll && daemon % 3 != round % 3)
            continue;
        fleet.daemon(daemon).signal(SIGKILL);
        fleet.daemon(daemon).wait(1s);
        if (!testCase.killsAll)
            fleet.restart(daemon);
    }
    for (int daemon = 0; testCase.killsAll && daemon < daemons; ++daemon)
        fleet.restart(daemon);
}

std::size_t countWithin(const std::vector<steady_time>& times, steady_time from, steady_time to)
{
    return static_cast<std::size_t>(std::lower_bound(times.begin(), times.end(), to) - std::lower_bound(times.begin(), times.end(), from));
}

/// Returns the times of all arrivals at servers that are not the first one of their request.
std::vector<steady_time> resendsOf(relay_fleet& fleet)
{
    std::map<std::string, std::vector<steady_time>> arrivals;
    for (int server = 0; server < fleet.servers(); ++server) {
        for (const received_request& received : fleet.server(server).seen())
            arrivals[received.id].push_back(received.at);
    }
    std::vector<steady_time> resends;
    for (auto& [id, times] : arrivals) {
        std::sort(times.begin(), times.end());
        resends.insert(resends.end(), times.begin() + 1, times.end());
    }
    std::sort(resends.begin(), resends.end());
    return resends;
}

} // namespace

BOOST_DATA_TEST_CASE(resendsStayWithinBudgetWhileDaemonsRestart, boost::unit_test::data::make(restarts), testCase)
{
    relay_fleet fleet { { .daemons = daemons, .servers = 4, .behaviour = { .kind = server_response_kind::Failure } } };
    std::atomic<bool> isStopping = false;
    std::mutex mutex;
    std::vector<steady_time> requests;
    std::vector<std::thread> threads;
    threads.reserve(callers);
    for (int caller = 0; caller < callers; ++caller) {
        threads.emplace_back([&, caller] {
            for (int number = 0; !isStopping; ++number) {
                {
                    const std::lock_guard lock { mutex };
                    requests.push_back(std::chrono::steady_clock::now());
                }
                httpCall({ .url = "http://" + fleet.callerAddress(caller % daemons) + "/read/a", .headers = headersOf({ .id = "c" + std::to_string(caller) + '-' + std::to_string(number), .key = relay_fleet::key }) });
                std::this_thread::sleep_for(callInterval);
            }
        });
    }
    for (int round = 0; round < testCase.rounds; ++round) {
        std::this_thread::sleep_for(restartInterval);
        restartDaemons(fleet, testCase, round);
    }
    std::this_thread::sleep_for(testCase.rounds == 0 ? 2 * window : window);
    isStopping = true;
    for (std::thread& thread : threads)
        thread.join();
    const std::vector<steady_time> resends = resendsOf(fleet);
    std::sort(requests.begin(), requests.end());
    std::size_t most = 0;
    for (const steady_time begin : resends) {
        const std::size_t count = countWithin(resends, begin, begin + window);
        const std::size_t counted = std::max({ countWithin(requests, begin, begin + window), countWithin(requests, begin - window / 2, begin + window / 2), countWithin(requests, begin - window, begin) });
        BOOST_TEST(static_cast<double>(count) <= ratio * static_cast<double>(counted) + slack);
        most = std::max(most, count);
    }
    BOOST_TEST_MESSAGE(testCase.name << ": at most " << most << " resends in a window");
    BOOST_TEST(!resends.empty());
}
