// Tests which removals of servers are deferred, by one daemon's readings and in fleets in virtual time.
#include "radishflow/Fleet/store_availability.h"
#include "radishflow/Routing/server_registry.h"
#include "radishflow/Support/manual_clock.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <ostream>
#include <random>
#include <vector>

using namespace radishflow;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace {

constexpr time_point startTime { 1h };

struct reading_case {
    const char* name;
    std::vector<milliseconds> readings; ///< In the order of their arrival, since startTime.
    milliseconds now;
    milliseconds possibleUntil; ///< Zero: removals are not deferred; milliseconds::max(): without end.
};

std::ostream& operator<<(std::ostream& out, const reading_case& test) { return out << test.name; }

const reading_case cases[] {
    { "no reading", {}, 9000ms, 0ms },
    { "first reading of a process", { 9000ms }, 9000ms, 0ms },
    { "regular readings", { 1000ms, 3000ms, 5000ms }, 6000ms, 0ms },
    { "gap", { 1000ms, 8000ms }, 8000ms, 10000ms },
    { "later readings do not extend the grace", { 1000ms, 8000ms, 8500ms, 9000ms, 9500ms }, 9500ms, 10000ms },
    { "a second gap does", { 1000ms, 8000ms, 9000ms, 11500ms }, 11500ms, 13500ms },
    { "silence", { 1000ms }, 3500ms, milliseconds::max() },
    { "own gap, closed by readings of other daemons that arrive later", { 1000ms, 8000ms, 2000ms, 3500ms, 4500ms, 5500ms, 7000ms }, 8000ms, 0ms },
    { "own gap, of which other daemons saw the end earlier", { 1000ms, 8000ms, 7500ms, 7000ms, 6500ms }, 8000ms, 8500ms },
};

} // namespace

BOOST_DATA_TEST_CASE(removalsAreDeferredByGapsInTheReadingsOfTheFleet, boost::unit_test::data::make(cases), test)
{
    store_availability availability;
    for (const milliseconds reading : test.readings)
        availability.recordReading(20s + reading, startTime + reading, 1);
    const time_point until = availability.lapsesPossibleUntil(startTime + test.now);
    if (test.possibleUntil == milliseconds::max())
        BOOST_TEST((until == time_point::max()));
    else
        BOOST_TEST((test.possibleUntil == 0ms ? until <= startTime : until == startTime + test.possibleUntil));
}

namespace {

struct path_case {
    const char* name;
    milliseconds secondReading; ///< The first one is at 1000 ms.
    milliseconds pathLostAt;
    bool isRegained;
    milliseconds now;
    milliseconds possibleUntil; ///< As in reading_case.
};

std::ostream& operator<<(std::ostream& out, const path_case& test) { return out << test.name; }

const path_case paths[] {
    { "outage shorter than the silence", 2800ms, 1500ms, true, 2800ms, 4800ms },
    { "shorter than a renewal interval", 2100ms, 1500ms, true, 2100ms, 0ms },
    { "own path lost earlier", 2800ms, 900ms, false, 2800ms, 0ms },
    { "own path lost in a normal gap, undecided", 2800ms, 1500ms, false, 2800ms, 3800ms },
    { "during a short outage", 1000ms, 1500ms, false, 2300ms, milliseconds::max() },
};

} // namespace

BOOST_DATA_TEST_CASE(shortGapDefersRemovalsIfTheOwnPathWasLostInIt, boost::unit_test::data::make(paths), test)
{
    store_availability availability;
    availability.recordReading(21s, startTime + 1s, 1);
    availability.recordPathLost(startTime + test.pathLostAt);
    availability.recordReading(20s + test.secondReading, startTime + test.secondReading, 1);
    if (test.isRegained)
        availability.recordPathRegained();
    const time_point until = availability.lapsesPossibleUntil(startTime + test.now);
    if (test.possibleUntil == milliseconds::max())
        BOOST_TEST((until == time_point::max()));
    else
        BOOST_TEST((test.possibleUntil == 0ms ? until <= startTime : until == startTime + test.possibleUntil));
}

BOOST_AUTO_TEST_CASE(newEraDefersRemovalsOnce)
{
    store_availability availability;
    availability.recordReading(20s, startTime, 1);
    availability.recordReading(21s, startTime + 1s, 2);
    BOOST_TEST((availability.lapsesPossibleUntil(startTime + 1s) == startTime + 3s));
    availability.recordReading(22s, startTime + 2s, 1);
    availability.recordReading(23s, startTime + 3s, 2);
    BOOST_TEST((availability.lapsesPossibleUntil(startTime + 3s) == startTime + 3s));
}

BOOST_AUTO_TEST_CASE(daemonThatLearnsOfANewEraLateDoesNotRestartItsGrace)
{
    store_availability availability;
    availability.recordReading(20s, startTime, 1);
    availability.recordReading(29s, startTime + 9s, 2);
    BOOST_TEST((availability.lapsesPossibleUntil(startTime + 9s) == startTime + 11s));
    for (const milliseconds reading : { 28500ms, 27500ms, 26500ms })
        availability.recordReading(reading, startTime + reading - 20s, 2);
    BOOST_TEST((availability.lapsesPossibleUntil(startTime + 9s) < startTime + 9s));
}

namespace {

constexpr auto step = 50ms;
constexpr auto maxDrainDelay = 2000ms;
constexpr auto contactTime = 3000ms;
constexpr auto maxGossipDelay = 800ms;
constexpr auto minPoll = 800ms;
constexpr auto maxPoll = 2400ms;
constexpr auto retryDelay = 500ms;

struct time_range {
    milliseconds begin {};
    milliseconds end {};
    bool contains(milliseconds at) const { return at >= begin && at < end; }
};

struct fleet_case {
    const char* name;
    int daemons;
    double cutShare; ///< Part of the daemons that do not reach the store.
    time_range cut;
    bool isSilent = true; ///< Whether pending polls get no response, rather than break at once.
    milliseconds flapInterval {}; ///< Zero: the cut lasts throughout.
    time_range pause {}; ///< Of the first daemon.
    milliseconds restartAt { -1 }; ///< Of the last daemon.
};

std::ostream& operator<<(std::ostream& out, const fleet_case& test) { return out << test.name << ", " << test.daemons << " daemons"; }

// Daemons of one fleet in virtual time; a third of them, eight at least, poll the store.
class deferring_fleet {
public:
    explicit deferring_fleet(const fleet_case& test, unsigned seed)
        : m_test(test)
        , m_random(seed)
        , m_daemons(static_cast<std::size_t>(test.daemons))
    {
        for (std::size_t number = 0; number < m_daemons.size(); ++number)
            restart(number);
    }

    // Entries of the store by server, and the times of the changes.
    void put(int server) { m_changes.push_back({ .server = server, .at = m_now, .isListed = true }); }
    void remove(int server) { m_changes.push_back({ .server = server, .at = m_now, .isListed = false }); }

    void advance(milliseconds time)
    {
        for (const milliseconds end = m_now + time; m_now < end; m_now += step) {
            m_clock.advance(step);
            for (std::size_t number = 0; number < m_daemons.size(); ++number) {
                if (number == 0 && m_test.pause.contains(m_now))
                    continue;
                if (number + 1 == m_daemons.size() && m_now == m_test.restartAt)
                    restart(number);
                advance(number);
            }
        }
    }

    milliseconds now() const { return m_now; }
    int daemonsThatList(int server)
    {
        return static_cast<int>(std::count_if(m_daemons.begin(), m_daemons.end(), [&](daemon& each) { return each.registry->list()->servers.contains(idOf(server)); }));
    }
    bool isPausedNow() const { return m_test.pause.contains(m_now); }

private:
    struct change {
        int server = 0;
        milliseconds at {};
        bool isListed = false;
    };
    struct daemon {
        std::unique_ptr<store_availability> availability;
        std::unique_ptr<server_registry<manual_clock>> registry;
        std::size_t applied = 0; ///< Changes of the store.
        milliseconds nextPoll {};
        milliseconds nextGossip {};
        bool isPathLost = false;
    };
    struct fleet_update {
        milliseconds storeTime {};
        std::size_t changes = 0;
        std::vector<milliseconds> readings;
    };

    static server_id idOf(int server) { return server_id { "s" + std::to_string(server) }; }
    static constexpr milliseconds storeOffset { 1000000 };

    bool reachesStore(std::size_t number) const
    {
        const bool isCut = static_cast<double>(number) < m_test.cutShare * static_cast<double>(m_daemons.size()) && m_test.cut.contains(m_now);
        return !isCut || (m_test.flapInterval > 0ms && (m_now - m_test.cut.begin) / m_test.flapInterval % 2 == 1);
    }
    bool isPolling(std::size_t number) const { return number % 3 == 0 || m_daemons.size() <= 8; }
    milliseconds random(milliseconds low, milliseconds high) { return milliseconds { std::uniform_int_distribution<milliseconds::rep> { low.count(), high.count() }(m_random) }; }

    void restart(std::size_t number)
    {
        daemon& started = m_daemons[number];
        started.registry = std::make_unique<server_registry<manual_clock>>(m_clock);
        started.availability = std::make_unique<store_availability>();
        started.applied = 0;
        started.isPathLost = false;
        started.nextPoll = m_now + random(0ms, maxPoll);
        started.nextGossip = m_now + random(0ms, maxGossipDelay);
    }

    // Applies the changes up to a number that a response brings.
    void receive(daemon& receiver, milliseconds storeTime, std::size_t changes)
    {
        receiver.availability->recordReading(storeTime, m_clock.now() - (m_now + storeOffset - storeTime), 1);
        receiver.registry->deferRemovalsUntil(receiver.availability->lapsesPossibleUntil(m_clock.now()));
        for (; receiver.applied < changes; ++receiver.applied) {
            const change& next = m_changes[receiver.applied];
            if (next.isListed)
                receiver.registry->put({ .id = idOf(next.server) });
            else
                receiver.registry->remove(idOf(next.server));
        }
    }

    void advance(std::size_t number)
    {
        daemon& each = m_daemons[number];
        const bool hasChange = each.applied < m_changes.size();
        const bool isBroken = !m_test.isSilent && !each.isPathLost && !reachesStore(number);
        if (isPolling(number) && (m_now >= each.nextPoll || isBroken || (hasChange && reachesStore(number) && !each.isPathLost)))
            poll(number);
        if (m_now >= each.nextGossip) {
            each.nextGossip = m_now + random(step, maxGossipDelay);
            for (const milliseconds reading : m_update.readings)
                each.availability->recordReading(reading, m_clock.now() - (m_now + storeOffset - reading), 1);
            if (m_update.storeTime > 0ms)
                receive(each, m_update.storeTime, m_update.changes);
        }
        each.registry->deferRemovalsUntil(each.availability->lapsesPossibleUntil(m_clock.now()));
    }

    void poll(std::size_t number)
    {
        daemon& each = m_daemons[number];
        if (!reachesStore(number)) {
            each.isPathLost = true;
            each.availability->recordPathLost(m_clock.now());
            each.nextPoll = m_now + retryDelay;
            return;
        }
        each.isPathLost = false;
        each.availability->recordPathRegained();
        receive(each, m_now + storeOffset, m_changes.size());
        each.nextPoll = m_now + random(minPoll, maxPoll);
        m_update = { .storeTime = m_now + storeOffset, .changes = m_changes.size(), .readings = each.availability->recentReadings() };
    }

    fleet_case m_test;
    std::minstd_rand m_random;
    manual_clock m_clock;
    milliseconds m_now {};
    std::vector<daemon> m_daemons;
    std::vector<change> m_changes;
    fleet_update m_update; ///< Register of the gossip.
};

constexpr time_range cut { 9500ms, 19000ms };

const fleet_case partitions[] {
    { "one daemon in seven cut", 7, 0.14, cut },
    { "a third cut", 7, 0.35, cut },
    { "a third cut", 350, 0.35, cut },
    { "all but one cut", 7, 0.85, cut },
    { "a third cut, connections break", 7, 0.35, cut, false },
    { "a third cut, connections break", 350, 0.35, cut, false },
    { "all but one cut, connections break", 7, 0.85, cut, false },
    { "flapping", 7, 0.35, cut, true, 700ms },
    { "flapping", 350, 0.35, cut, true, 1300ms },
    { "flapping, connections break", 7, 0.35, cut, false, 1300ms },
    { "a daemon restarts", 7, 0.35, cut, true, 0ms, {}, 10500ms },
    { "a daemon paused and cut", 7, 0.35, cut, true, 0ms, { 9000ms, 13000ms } },
    { "a daemon paused", 350, 0, {}, true, 0ms, { 9000ms, 13000ms } },
};

const fleet_case outages[] {
    { "outage of 1.5 s", 7, 1.0, { 9500ms, 11000ms }, false },
    { "outage of 9 s, connections break", 7, 1.0, { 9500ms, 18500ms }, false },
    { "outage of 3 s", 7, 1.0, { 9500ms, 12500ms } },
    { "outage of 9 s", 7, 1.0, { 9500ms, 18500ms } },
    { "outage of 9 s", 350, 1.0, { 9500ms, 18500ms } },
    { "outage with a restart", 7, 1.0, { 9500ms, 18500ms }, true, 0ms, {}, 4000ms },
    { "outage with a pause", 350, 1.0, { 9500ms, 18500ms }, true, 0ms, { 12000ms, 16000ms } },
};

constexpr int seeds = 5;

} // namespace

BOOST_DATA_TEST_CASE(removalsThatTheFleetReceivesAreAppliedByDaemonsWithoutTheirOwnPath, boost::unit_test::data::make(partitions), test)
{
    for (unsigned seed = 1; seed <= seeds; ++seed) {
        deferring_fleet fleet { test, seed };
        for (int server = 0; server < 12; ++server)
            fleet.put(server);
        fleet.advance(10s);
        for (int server = 0; server < 10; ++server) {
            fleet.remove(server);
            const milliseconds removedAt = fleet.now();
            fleet.advance(maxDrainDelay);
            // The platform binds a daemon from contactTime after a pause or the return of its path on.
            const milliseconds drainDelay = test.flapInterval > 0ms ? contactTime : maxDrainDelay;
            const milliseconds bound = std::max(removedAt + drainDelay, test.pause.contains(removedAt) ? test.pause.end + contactTime : 0ms);
            while (fleet.now() < bound)
                fleet.advance(step);
            BOOST_TEST(fleet.daemonsThatList(server) == 0, "server " << server << " at " << fleet.now().count() << " ms, seed " << seed);
        }
    }
}

BOOST_DATA_TEST_CASE(serversWhoseEntriesLapseInAnOutageOfTheWholeFleetStayListed, boost::unit_test::data::make(outages), test)
{
    for (unsigned seed = 1; seed <= seeds; ++seed) {
        deferring_fleet fleet { test, seed };
        for (int server = 0; server < 4; ++server)
            fleet.put(server);
        fleet.advance(test.cut.end - 100ms);
        fleet.remove(0);
        fleet.remove(1);
        fleet.advance(100ms);
        const milliseconds renewedAt = test.cut.end + 1800ms;
        while (fleet.now() < renewedAt) {
            fleet.advance(step);
            BOOST_TEST(fleet.daemonsThatList(0) == test.daemons, "at " << fleet.now().count() << " ms, seed " << seed);
        }
        fleet.put(0);
        fleet.advance(test.cut.end + contactTime - fleet.now());
        BOOST_TEST(fleet.daemonsThatList(1) == 0, "seed " << seed);
        BOOST_TEST(fleet.daemonsThatList(0) == test.daemons, "seed " << seed);
    }
}
