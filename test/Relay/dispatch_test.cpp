// Tests that a fleet with more daemons than its servers have slots does not overrun them, also while a dispatching daemon ends.
#include "relay_fleet.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <csignal>
#include <ostream>
#include <random>
#include <string>
#include <thread>
#include <vector>

using namespace radishflow;
using namespace std::chrono_literals;

namespace {

constexpr int daemons = 14;
constexpr int servers = 3;
constexpr int slots = 4; // Of each server.
constexpr auto work = 40ms;
constexpr int callers = 14;
constexpr auto meanCallInterval = 60ms; // After a response. The callers use about half of the slots on average.
constexpr auto settlingTime = 3s;
constexpr auto loadTime = 6s;

struct dispatch_case {
    const char* name;
    std::vector<std::string> contracts;
    bool killsDispatcher = false;
    double maxRefusedShare = 1; ///< Of the arrivals at servers, by the servers.
    double minServedShare = 0;

    friend std::ostream& operator<<(std::ostream& out, const dispatch_case& test) { return out << test.name; }
};

const std::vector<dispatch_case> dispatches {
    { .name = "callers compete", .contracts = { competitionContract() }, .maxRefusedShare = 0.01, .minServedShare = 0.99 },
    { .name = "a dispatcher ends", .contracts = { competitionContract() }, .killsDispatcher = true, .maxRefusedShare = 0.05, .minServedShare = 0.85 },
    { .name = "no contract" },
};

/// Sends orders through all daemons until it is destroyed.
class order_callers {
public:
    explicit order_callers(relay_fleet& fleet)
    {
        for (int caller = 0; caller < callers; ++caller) {
            m_threads.emplace_back([this, caller, url = "http://" + fleet.callerAddress(caller % daemons) + "/order/a"] {
                std::mt19937 random { static_cast<std::uint32_t>(caller) };
                std::exponential_distribution<double> pause { 1 / std::chrono::duration<double>(meanCallInterval).count() };
                for (int number = 0; !m_isStopping; ++number) {
                    const http_call_reply reply = httpCall({ .method = "POST", .url = url, .headers = headersOf({ .id = "c" + std::to_string(caller) + '-' + std::to_string(number), .key = relay_fleet::key, .timeLeft = 800ms }), .body = "order" });
                    if (m_isCounting) {
                        ++m_requests;
                        m_served += reply.status == 200 ? 1 : 0;
                    }
                    std::this_thread::sleep_for(std::chrono::duration<double> { pause(random) });
                }
            });
        }
    }
    ~order_callers()
    {
        m_isStopping = true;
        for (std::thread& thread : m_threads)
            thread.join();
    }
    order_callers(const order_callers&) = delete;
    order_callers& operator=(const order_callers&) = delete;

    void startCounting() { m_isCounting = true; }
    double servedShare() const { return static_cast<double>(m_served) / std::max(m_requests.load(), 1); }

private:
    std::atomic<bool> m_isStopping = false;
    std::atomic<bool> m_isCounting = false;
    std::atomic<int> m_requests = 0;
    std::atomic<int> m_served = 0;
    std::vector<std::thread> m_threads;
};

/// Returns the daemon that has received most forwarded requests.
int busiestDispatcher(const relay_fleet& fleet)
{
    int busiest = 0;
    double most = -1;
    for (int daemon = 0; daemon < daemons; ++daemon) {
        const double received = fleet.metric(daemon, "radishflow_forwarded_total{direction=\"received\"");
        if (received > most) {
            most = received;
            busiest = daemon;
        }
    }
    BOOST_TEST(most > 0);
    return busiest;
}

} // namespace

BOOST_DATA_TEST_CASE(serversAreNotOverrun, boost::unit_test::data::make(dispatches), plan)
{
    relay_fleet fleet { { .daemons = daemons, .servers = servers, .behaviour = { .slots = slots, .pause = work }, .arguments = { "--dispatch" }, .contracts = plan.contracts } };
    order_callers load { fleet };
    std::this_thread::sleep_for(settlingTime);
    const auto countedFrom = std::chrono::steady_clock::now();
    load.startCounting();
    if (plan.killsDispatcher)
        fleet.daemon(busiestDispatcher(fleet)).signal(SIGKILL);
    std::this_thread::sleep_for(loadTime);
    int arrivals = 0;
    int refused = 0;
    for (int server = 0; server < servers; ++server) {
        for (const received_request& received : fleet.server(server).seen()) {
            if (received.at < countedFrom)
                continue;
            ++arrivals;
            refused += received.hasRun ? 0 : 1;
        }
    }
    BOOST_TEST_MESSAGE(plan << ": servers refused " << refused << " of " << arrivals << " arrivals; served " << load.servedShare());
    BOOST_TEST(arrivals > 0);
    BOOST_TEST(refused <= arrivals * plan.maxRefusedShare);
    BOOST_TEST(load.servedShare() >= plan.minServedShare);
    BOOST_TEST(fleet.ordersRunTwice() == 0);
}
