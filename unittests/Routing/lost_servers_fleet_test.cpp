// Plays fleets in virtual time of which some daemons lose the path to all backend servers.
#include "radishflow/Routing/peer_selector.h"
#include "radishflow/Routing/server_access_monitor.h"
#include "radishflow/Support/manual_clock.h"

#include "test_servers.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <functional>
#include <memory>
#include <ostream>
#include <random>
#include <string>
#include <vector>

using namespace radishflow;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t service = 1;
constexpr int servers = 12;
constexpr auto step = 10ms;
constexpr auto hintInterval = 250ms;
constexpr int hintRecipients = 6;
constexpr std::size_t maxTriedPeers = 3;
constexpr duration cutAt = 3s;
constexpr duration decidedAt = 5s; ///< Two seconds after the cut.
constexpr duration healedAt = 15s;
constexpr duration playedTime = 18s;

struct cut_case {
    const char* name;
    double cutShare; ///< Of the daemons, the first ones.
    bool areServersDown; ///< All servers are down for the time of the cut.
    bool isHanging; ///< Connections hang instead of being refused.
    duration flapTime; ///< The path heals and is cut again at this interval; 0 for a cut without gaps.
    bool isSingleServerDead; ///< One server is dead all the time.

    friend std::ostream& operator<<(std::ostream& out, const cut_case& testCase) { return out << testCase.name; }
};

const std::vector<cut_case> cuts {
    { .name = "one daemon, refused", .cutShare = 0.01 },
    { .name = "a quarter, hanging", .cutShare = 0.25, .isHanging = true },
    { .name = "a third, refused", .cutShare = 1.0 / 3 },
    { .name = "most, hanging", .cutShare = 0.8, .isHanging = true },
    { .name = "all daemons", .cutShare = 1 },
    { .name = "all servers down", .areServersDown = true },
    { .name = "a third, flapping", .cutShare = 1.0 / 3, .flapTime = 1500ms },
    { .name = "one dead server", .isSingleServerDead = true },
    { .name = "nothing" },
};

struct size_case {
    int daemons;
    double requestsPerSecond; ///< At each daemon.

    friend std::ostream& operator<<(std::ostream& out, const size_case& testCase) { return out << testCase.daemons << " daemons"; }
};

const std::vector<size_case> sizes { { 7, 20 }, { 350, 4 } };

struct counts {
    int requests = 0;
    int served = 0;

    double share() const { return requests == 0 ? 1 : static_cast<double>(served) / requests; }
};

class cut_fleet {
public:
    cut_fleet(const cut_case& cut, const size_case& size)
        : m_cut(cut)
        , m_size(size)
        , m_cutDaemons(static_cast<int>(cut.cutShare * size.daemons + 0.999))
    {
        for (int number = 0; number < size.daemons; ++number) {
            m_daemons.push_back(std::make_unique<daemon>(m_clock));
            m_daemons.back()->view = testFleet(size.daemons, number);
            for (std::size_t other = 0; other < m_daemons.back()->view.daemons.size(); ++other) {
                m_daemons.back()->view.daemons[other].callerAddress = hostOf(static_cast<int>(other)) + ":1";
                m_daemons.back()->view.daemons[other].acceptsCallers = true;
            }
        }
        m_begin = m_clock.now();
    }

    void play()
    {
        while (time() < playedTime) {
            for (int number = 0; number < m_size.daemons; ++number)
                playStep(number);
            for (const auto& run : takeDue())
                run();
            m_clock.advance(step);
        }
    }

    counts cutDaemons; ///< Requests at the cut daemons from two seconds after the cut to its end.
    counts otherDaemons;
    int forwarded = 0; ///< Requests sent to other daemons until the cut ends.
    int maxForwardedTo = 0; ///< Forwarded requests that one daemon received.
    int probes = 0;

private:
    struct daemon {
        explicit daemon(const manual_clock& clock)
            : monitor(clock)
            , peers(clock)
        {
        }

        server_access_monitor<manual_clock> monitor;
        peer_selector<manual_clock> peers;
        fleet_view view;
        duration nextProbe {};
        duration nextQuestion {};
        int received = 0;
    };

    static std::string hostOf(int number) { return "h" + std::to_string(number); }
    duration time() const { return m_clock.now() - m_begin; }
    bool isCutTime() const { return time() >= cutAt && time() < healedAt; }
    bool reaches(int number) const
    {
        if (!isCutTime())
            return true;
        if (m_cut.areServersDown)
            return false;
        const bool isGap = m_cut.flapTime > duration::zero() && ((time() - cutAt) / m_cut.flapTime) % 2 == 1;
        return number >= m_cutDaemons || isGap;
    }
    bool isLost(daemon& each) { return each.monitor.state() == server_access_state::Unavailable && each.peers.hasPeer(each.view, service, each.monitor.doubtBeganAt()); }
    duration failureTime() const { return m_cut.isHanging ? 300ms : 0ms; }

    void after(duration delay, std::function<void()> run) { m_pending.push_back({ m_clock.now() + delay, std::move(run) }); }

    std::vector<std::function<void()>> takeDue()
    {
        std::vector<std::function<void()>> due;
        std::erase_if(m_pending, [&](auto& pending) {
            if (pending.first > m_clock.now())
                return false;
            due.push_back(std::move(pending.second));
            return true;
        });
        return due;
    }

    void playStep(int number)
    {
        daemon& each = *m_daemons[static_cast<std::size_t>(number)];
        if (std::uniform_real_distribution<double> {}(m_random) < m_size.requestsPerSecond * std::chrono::duration<double>(step).count())
            startRequest(number);
        if (time() >= each.nextProbe && each.monitor.isProbeDue()) {
            ++probes;
            const bool isRepeated = each.monitor.isProbeRepeated();
            const duration takes = reaches(number) || !m_cut.isHanging ? duration { 10ms } : duration { isRepeated ? 250ms : 150ms };
            each.nextProbe = time() + takes;
            after(takes, [this, number, &each] { each.monitor.recordProbe(reaches(number) && !(m_cut.isSingleServerDead && m_random() % servers == 0)); });
        }
        if (each.monitor.state() == server_access_state::Unavailable && time() >= each.nextQuestion) {
            each.nextQuestion = time() + (isLost(each) ? 1s : 100ms);
            publish(number, true);
        }
        if ((time() + number * step) % hintInterval == 0ms)
            publish(number, false);
    }

    void publish(int number, bool isQuestion)
    {
        daemon& sender = *m_daemons[static_cast<std::size_t>(number)];
        for (int count = 0; count < hintRecipients; ++count) {
            const int other = static_cast<int>(m_random() % static_cast<unsigned>(m_size.daemons));
            if (other == number)
                continue;
            daemon& receiver = *m_daemons[static_cast<std::size_t>(other)];
            if (const auto age = sender.monitor.contactAge())
                receiver.peers.recordStatement(hostOf(number), service, age);
            if (!isQuestion)
                continue;
            receiver.monitor.checkContact(200ms);
            if (const auto age = receiver.monitor.contactAge())
                sender.peers.recordStatement(hostOf(other), service, age);
        }
    }

    void startRequest(int number)
    {
        daemon& each = *m_daemons[static_cast<std::size_t>(number)];
        const bool isCounted = time() >= decidedAt && time() < healedAt;
        counts& counted = number < m_cutDaemons ? cutDaemons : otherDaemons;
        if (isCounted)
            ++counted.requests;
        if (!isLost(each)) {
            runDirectly(number, isCounted ? &counted : nullptr, 0);
            return;
        }
        std::vector<daemon_id> tried;
        while (tried.size() < maxTriedPeers) {
            const auto peer = each.peers.choose(each.view, service, each.monitor.doubtBeganAt(), tried, (static_cast<std::uint64_t>(m_random()) << 32U) | m_random());
            if (!peer)
                return;
            forwarded += time() < healedAt ? 1 : 0;
            tried.push_back(peer->id);
            const int other = std::stoi(peer->id.value().substr(1));
            daemon& receiver = *m_daemons[static_cast<std::size_t>(other)];
            if (time() < healedAt)
                maxForwardedTo = std::max(maxForwardedTo, ++receiver.received);
            const bool isServed = reaches(other);
            after(100ms, [&each, peer, isServed] { each.peers.finish(*peer, isServed ? peer_outcome::Served : peer_outcome::Failed); });
            if (isServed) {
                receiver.monitor.recordContact();
                counted.served += isCounted ? 1 : 0;
                return;
            }
        }
    }

    void runDirectly(int number, counts* counted, int attempt)
    {
        daemon& each = *m_daemons[static_cast<std::size_t>(number)];
        const int server = static_cast<int>(m_random() % servers);
        const bool isDead = m_cut.isSingleServerDead && server == 0;
        if (reaches(number) && !isDead) {
            each.monitor.recordConnected();
            if (counted)
                ++counted->served;
            return;
        }
        after(isDead ? duration { 0ms } : failureTime(), [this, number, &each, server, counted, attempt] {
            each.monitor.recordConnectFailure(testServer(server).id, servers);
            if (attempt < 2 && !isLost(each))
                runDirectly(number, counted, attempt + 1);
        });
    }

    cut_case m_cut;
    size_case m_size;
    int m_cutDaemons;
    manual_clock m_clock;
    time_point m_begin;
    std::mt19937 m_random { 5 };
    std::vector<std::unique_ptr<daemon>> m_daemons;
    std::vector<std::pair<time_point, std::function<void()>>> m_pending;
};

} // namespace

BOOST_DATA_TEST_CASE(fleetServesCallersOfDaemonsThatLostTheServers, boost::unit_test::data::make(sizes) * boost::unit_test::data::make(cuts), size, cut)
{
    cut_fleet fleet { cut, size };
    fleet.play();
    BOOST_TEST_MESSAGE(size << ", " << cut << ": served " << fleet.cutDaemons.served << " of " << fleet.cutDaemons.requests << " at cut daemons, " << fleet.otherDaemons.served << " of " << fleet.otherDaemons.requests
                            << " at others; forwarded " << fleet.forwarded << ", at most " << fleet.maxForwardedTo << " to one daemon, probes " << fleet.probes);
    const bool isAllLost = cut.areServersDown || cut.cutShare >= 1;
    if (isAllLost || cut.cutShare == 0) {
        // No daemon reaches a server that this one does not, so nothing is forwarded.
        BOOST_TEST(fleet.forwarded == 0);
        return;
    }
    const double minShare = cut.flapTime > duration::zero() ? 2.0 / 3 : 0.97;
    BOOST_TEST(fleet.cutDaemons.share() >= minShare * fleet.otherDaemons.share());
    const double others = (1 - cut.cutShare) * size.daemons;
    const double mean = fleet.forwarded / others;
    BOOST_TEST(fleet.maxForwardedTo <= 2 * mean + 20);
}
