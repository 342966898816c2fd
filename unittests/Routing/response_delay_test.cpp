// Tests the choice among few servers that do not report their load: by tables, and by playing requests through fleets in virtual time.
#include "radishflow/Routing/load_balancer.h"
#include "radishflow/Support/manual_clock.h"

#include "test_servers.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <chrono>
#include <cmath>
#include <deque>
#include <map>
#include <memory>
#include <ostream>
#include <random>
#include <string>
#include <vector>

using namespace radishflow;
using namespace std::chrono_literals;

namespace {

struct draw_case {
    const char* name;
    std::vector<double> delays;
    std::vector<double> shares; ///< Of the requests.

    friend std::ostream& operator<<(std::ostream& out, const draw_case& test) { return out << test.name; }
};

const std::vector<draw_case> draws {
    { "one server", { 9 }, { 1 } },
    { "equal ones", { 0.04, 0.04, 0.04 }, { 0.333, 0.333, 0.333 } },
    { "one that takes longer", { 0.03, 0.06 }, { 0.571, 0.429 } },
    { "one that would be late", { 0.05, 0.3 }, { 0.769, 0.231 } },
    { "all would be late", { 0.2, 0.9 }, { 0.5, 0.5 } },
};

} // namespace

BOOST_DATA_TEST_CASE(shareFollowsTheTimeThatIsLeft, boost::unit_test::data::make(draws), test)
{
    constexpr double objective = 0.15;
    constexpr int requests = 20000;
    std::vector<int> counts(test.delays.size());
    for (std::uint64_t request = 0; request < requests; ++request)
        ++counts[drawServer(test.delays, objective, request)];
    for (std::size_t server = 0; server < counts.size(); ++server)
        BOOST_TEST(std::abs(counts[server] / static_cast<double>(requests) - test.shares[server]) < 0.02);
}

BOOST_AUTO_TEST_CASE(estimateReturnsToThatOfTheOtherServers)
{
    response_delay delay;
    BOOST_TEST(delay.secondsAt(time_point {}, 0.05) == 0.05);
    delay.recordOwn(200ms, time_point {});
    delay.recordOwn(400ms, time_point {});
    BOOST_TEST(std::abs(delay.secondsAt(time_point {}, 0.05) - 0.22) < 0.01);
    BOOST_TEST(std::abs(delay.secondsAt(time_point {} + 5s, 0.05) - 0.05) < 0.01);
    const auto update = delay.takeUpdate(7, time_point {} + 1s);
    BOOST_REQUIRE(update.has_value());
    BOOST_TEST((update->delay == 300ms && update->age == 1s));
    BOOST_TEST(!delay.takeUpdate(7, time_point {} + 1s).has_value());
}

namespace {

/// As a service with few slots of the new deployments: each server runs 6 requests, holds 24 more and refuses others.
struct slots_load {
    const char* name;
    int daemons;
    int servers;
    double requestsPerSecond;
    double slowestFactor = 1; ///< By which the first server takes longer.
    bool areHostsShared = false; ///< Whether each server takes 2.5 times as long for 600 ms now and then.
    double minOnTime; ///< Share of the requests that the daemons must get served within their objective.

    friend std::ostream& operator<<(std::ostream& out, const slots_load& load) { return out << load.name; }
};

constexpr duration objective = 150ms;

/// Requests whose daemons are spread unevenly over the zones of the servers.
class slots_fleet {
public:
    slots_fleet(const slots_load& load, bool isContended)
        : m_load(load)
        , m_list(testServers(0))
        , m_servers(static_cast<std::size_t>(load.servers))
    {
        for (int number = 0; number < load.servers; ++number)
            m_list.servers.emplace(testServer(number).id, testServer(number, zoneOf(number)));
        for (int number = 0; number < load.daemons; ++number) {
            m_balancers.push_back(std::make_unique<load_balancer<manual_clock>>(m_clock));
            m_balancers.back()->retain(m_list);
            if (isContended)
                m_balancers.back()->setContended();
            m_views.push_back(testFleet(load.daemons, number));
        }
    }

    /// Returns the share of the requests that were served within the objective.
    double play(duration length)
    {
        const time_point end = m_clock.now() + length;
        std::exponential_distribution<double> gap { m_load.requestsPerSecond };
        while (m_clock.now() < end) {
            runUntil(m_clock.now() + std::chrono::duration_cast<duration>(std::chrono::duration<double> { gap(m_random) }));
            send(m_random() % m_balancers.size(), m_clock.now(), {});
            ++m_requests;
        }
        return m_onTime / static_cast<double>(m_requests);
    }

private:
    static constexpr std::size_t slots = 6;
    static constexpr std::size_t maxQueued = 24;
    static constexpr auto hintInterval = 250ms; // Of the daemon's refresh task.
    static constexpr int peersPerRound = 6; // As in hint_exchange_options.

    struct call {
        std::size_t daemon;
        time_point receivedAt; ///< By the first daemon.
        time_point sentAt;
    };
    struct server {
        std::size_t running = 0;
        std::deque<call> queue;
        double factor = 1;
    };

    static std::string zoneOf(int number) { return "z" + std::to_string(number % 3); }
    // Half of the daemons are in the first zone.
    static std::string zoneOfDaemon(std::size_t daemon) { return daemon % 2 == 0 ? "z0" : zoneOf(static_cast<int>(daemon)); }
    static std::size_t indexOf(const server_id& id) { return static_cast<std::size_t>(std::stoul(id.value().substr(1))); }

    void send(std::size_t daemon, time_point receivedAt, const std::vector<server_id>& excluded)
    {
        const auto chosen = m_balancers[daemon]->startRequest(m_list, { .service = service_id { "model" }, .tieBreak = m_random(), .zone = zone_id { zoneOfDaemon(daemon) }, .objective = objective, .excluded = excluded, .fleet = &m_views[daemon] });
        if (!chosen)
            return;
        server& target = m_servers[indexOf(chosen->server.id)];
        const call added { .daemon = daemon, .receivedAt = receivedAt, .sentAt = m_clock.now() };
        if (target.running < slots) {
            start(chosen->server.id, added);
        } else if (target.queue.size() < maxQueued) {
            target.queue.push_back(added);
        } else {
            m_balancers[daemon]->recordFull(chosen->server, objective);
            m_balancers[daemon]->finishRequest(chosen->server.id, server_outcome::Failed, duration {});
            if (excluded.empty())
                send(daemon, receivedAt, { chosen->server.id });
        }
    }

    void start(const server_id& id, const call& started)
    {
        const std::size_t number = indexOf(id);
        ++m_servers[number].running;
        std::lognormal_distribution<double> work { std::log(0.03) - 0.125, 0.5 };
        const double factor = m_servers[number].factor * (number == 0 ? m_load.slowestFactor : 1);
        m_ends.emplace(m_clock.now() + std::chrono::duration_cast<duration>(std::chrono::duration<double> { work(m_random) * factor }), std::pair { id, started });
    }

    void end(const server_id& id, const call& ended)
    {
        server& from = m_servers[indexOf(id)];
        --from.running;
        m_balancers[ended.daemon]->finishRequest(id, server_outcome::Served, m_clock.now() - ended.sentAt);
        m_onTime += m_clock.now() - ended.receivedAt <= objective ? 1 : 0;
        if (from.queue.empty())
            return;
        const call next = from.queue.front();
        from.queue.pop_front();
        start(id, next);
    }

    void runUntil(time_point until)
    {
        while (true) {
            const time_point nextEnd = m_ends.empty() ? time_point::max() : m_ends.begin()->first;
            const time_point next = std::min(nextEnd, m_nextRound);
            if (next > until)
                break;
            m_clock.advance(next - m_clock.now());
            if (next == m_nextRound) {
                exchangeHints();
                continue;
            }
            const auto [id, ended] = m_ends.extract(m_ends.begin()).mapped();
            end(id, ended);
        }
        m_clock.advance(until - m_clock.now());
    }

    void exchangeHints()
    {
        m_nextRound += duration { hintInterval } / m_load.daemons;
        const std::size_t sender = m_nextSender++ % m_balancers.size();
        const auto delays = m_balancers[sender]->takeDelayUpdates();
        for (int peer = 0; peer < peersPerRound && !delays.empty(); ++peer)
            m_balancers[m_random() % m_balancers.size()]->recordPeerDelays(delays);
        if (m_load.areHostsShared && sender == 0) {
            for (server& each : m_servers)
                each.factor = m_random() % 16 == 0 ? 2.5 : each.factor > 1 && m_random() % 5 < 3 ? each.factor
                                                                                                 : 1;
        }
    }

    slots_load m_load;
    manual_clock m_clock;
    std::mt19937_64 m_random { 5 };
    server_list m_list;
    std::vector<std::unique_ptr<load_balancer<manual_clock>>> m_balancers;
    std::vector<fleet_view> m_views;
    std::vector<server> m_servers;
    std::multimap<time_point, std::pair<server_id, call>> m_ends;
    time_point m_nextRound { m_clock.now() };
    std::size_t m_nextSender = 0;
    int m_requests = 0;
    int m_onTime = 0;
};

// What the callers of the service need: nearly all on time while the servers together have room, a fair share of it otherwise.
const std::vector<slots_load> slotsLoads {
    { .name = "61 daemons, 3 servers", .daemons = 61, .servers = 3, .requestsPerSecond = 160, .minOnTime = 0.98 },
    { .name = "131 daemons, 3 servers, a wave", .daemons = 131, .servers = 3, .requestsPerSecond = 380, .minOnTime = 0.95 },
    { .name = "131 daemons, 3 servers on shared hosts", .daemons = 131, .servers = 3, .requestsPerSecond = 300, .areHostsShared = true, .minOnTime = 0.9 },
    { .name = "131 daemons, one of 3 servers is slow", .daemons = 131, .servers = 3, .requestsPerSecond = 300, .slowestFactor = 6.7, .minOnTime = 0.85 },
    { .name = "350 daemons, one of 6 servers is slow", .daemons = 350, .servers = 6, .requestsPerSecond = 760, .slowestFactor = 6.7, .minOnTime = 0.85 },
};

} // namespace

BOOST_DATA_TEST_CASE(fewServersServeMostRequestsOnTime, boost::unit_test::data::make(slotsLoads), load)
{
    const double byCount = slots_fleet { load, false }.play(20s);
    const double byDelay = slots_fleet { load, true }.play(20s);
    BOOST_TEST_MESSAGE(load << ": on time " << byCount << " by the counts of each daemon, " << byDelay << " by response times");
    BOOST_TEST(byDelay >= load.minOnTime);
    BOOST_TEST(byDelay >= byCount - 0.005);
}
