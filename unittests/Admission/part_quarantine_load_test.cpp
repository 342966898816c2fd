// Plays a service under load in virtual time, with requests whose prompts have a part that crashes servers: every stream in flight at
// a crash breaks, and the daemons exchange their evidence by datagrams, of which some are lost.
#include "radishflow/Admission/part_quarantine.h"
#include "radishflow/Support/manual_clock.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <ostream>
#include <random>
#include <string>
#include <vector>

using namespace radishflow;
using namespace std::chrono_literals;

namespace {

using daemon_parts = part_quarantine<manual_clock>;

struct load_case {
    const char* name;
    int daemons;
    int servers;
    int zones;
    double soundPerSecond;
    double crashingPerSecond;
    int subjects; ///< Number of second parts of the sound requests; the first ten are those of half of the requests.
    std::size_t crashingPosition; ///< Of the crashing part in its prompts.
    std::chrono::milliseconds zoneLossAt; ///< Time at which a zone loses power; negative for never.
};

std::ostream& operator<<(std::ostream& out, const load_case& testCase) { return out << testCase.name; }

const load_case loads[] {
    { "small fleet", 7, 18, 4, 90, 3, 200, 1, -1ms },
    { "small fleet, crashing part first", 7, 18, 4, 90, 3, 200, 0, -1ms },
    { "small fleet, rare crashing requests", 7, 18, 4, 90, 0.5, 200, 1, -1ms },
    { "small fleet, many subjects", 7, 18, 4, 90, 3, 5000, 1, -1ms },
    { "small fleet, many crashing requests", 7, 18, 4, 90, 12, 200, 1, -1ms },
    { "small fleet, zone lost before", 7, 18, 4, 90, 3, 200, 1, 2s },
    { "small fleet, zone lost meanwhile", 7, 18, 4, 90, 3, 200, 1, 11s },
    { "grown fleet", 68, 94, 4, 450, 4, 1000, 1, -1ms },
    { "large fleet", 350, 1300, 9, 1500, 6, 5000, 1, -1ms },
};

constexpr auto contactTime = 3000ms; ///< Time after the fifth crash from which the platform counts sends.
constexpr int crashesBeforeContactTime = 5;
constexpr int maxLaterSends = 3;
constexpr auto step = 10ms;
constexpr auto exchangeInterval = 250ms;
constexpr auto crashStart = 10s; ///< Before it all requests are sound.
constexpr auto playedTime = 40s;
constexpr auto restartTime = 3s;
constexpr double lossRate = 0.03;
constexpr std::uint64_t crashingPart = 999999;

struct flight {
    int daemon = 0;
    int server = 0;
    std::vector<std::uint64_t> parts;
    time_point endsAt {};
    bool isCrashing = false;
};

class played_service {
public:
    explicit played_service(const load_case& testCase)
        : m_case(testCase)
        , m_upAt(static_cast<std::size_t>(testCase.servers))
        , m_starts(static_cast<std::size_t>(testCase.servers))
    {
        m_clock.advance(1h);
        m_start = m_clock.now();
        std::map<zone_id, std::size_t> zoneSizes;
        for (int server = 0; server < m_case.servers; ++server)
            ++zoneSizes[zoneOf(server)];
        for (int daemon = 0; daemon < m_case.daemons; ++daemon) {
            m_daemons.push_back(std::make_unique<daemon_parts>(m_clock));
            m_daemons.back()->updateZoneSizes(zoneSizes);
            m_nextExchange.push_back(m_start + draw(25) * step);
        }
    }

    void play()
    {
        bool isZoneLost = m_case.zoneLossAt < 0ms;
        while (m_clock.now() - m_start < playedTime) {
            m_clock.advance(step);
            if (!isZoneLost && m_clock.now() - m_start >= m_case.zoneLossAt) {
                isZoneLost = true;
                for (int server = 0; server < m_case.servers; server += m_case.zones)
                    crash(server);
            }
            endFlights();
            send(m_case.soundPerSecond, false);
            if (m_clock.now() - m_start >= crashStart)
                send(m_case.crashingPerSecond, true);
            exchange();
        }
    }

    int crashes = 0;
    int lateSends = 0;
    int sound = 0; ///< From twice the contact time after the fifth crash.
    int soundRefused = 0;
    int earlySound = 0; ///< Before.
    int earlySoundRefused = 0;

private:
    int draw(int count) { return static_cast<int>(m_random() % static_cast<unsigned>(count)); }
    zone_id zoneOf(int server) const { return zone_id { "z" + std::to_string(server % m_case.zones) }; }

    std::vector<std::uint64_t> drawParts(bool isCrashing)
    {
        const int subject = draw(2) == 0 ? draw(10) : draw(m_case.subjects);
        std::vector<std::uint64_t> parts { 1 + static_cast<std::uint64_t>(subject % 10), 1000 + static_cast<std::uint64_t>(subject) };
        if (isCrashing)
            parts.insert(parts.begin() + static_cast<std::ptrdiff_t>(m_case.crashingPosition), crashingPart);
        return parts;
    }

    void send(double perSecond, bool isCrashing)
    {
        std::poisson_distribution<int> count { perSecond * std::chrono::duration<double>(step).count() };
        for (int remaining = count(m_random); remaining > 0; --remaining)
            sendOne(isCrashing);
    }

    void sendOne(bool isCrashing)
    {
        flight started { .daemon = draw(m_case.daemons), .server = draw(m_case.servers), .parts = drawParts(isCrashing), .isCrashing = isCrashing };
        while (m_upAt[static_cast<std::size_t>(started.server)] > m_clock.now())
            started.server = draw(m_case.servers);
        const bool isRefused = m_daemons[static_cast<std::size_t>(started.daemon)]->isQuarantined(started.parts);
        const bool isLate = m_fifthCrashAt && m_clock.now() > *m_fifthCrashAt + contactTime;
        if (!isCrashing) {
            const bool isCounted = m_fifthCrashAt && m_clock.now() > *m_fifthCrashAt + 2 * contactTime;
            ++(isCounted ? sound : earlySound);
            (isCounted ? soundRefused : earlySoundRefused) += isRefused ? 1 : 0;
        }
        if (isRefused)
            return;
        lateSends += isCrashing && isLate ? 1 : 0;
        started.endsAt = m_clock.now() + (isCrashing ? 40ms + draw(86) * 10ms : 200ms + draw(180) * 10ms);
        m_flights.push_back(started);
    }

    void crash(int server)
    {
        const server_id process { "i-" + std::to_string(server) + '@' + std::to_string(m_starts[static_cast<std::size_t>(server)]++) };
        m_upAt[static_cast<std::size_t>(server)] = m_clock.now() + restartTime;
        for (const flight& broken : m_flights) {
            if (broken.server == server)
                m_daemons[static_cast<std::size_t>(broken.daemon)]->recordCrash(process, zoneOf(server), broken.parts);
        }
        std::erase_if(m_flights, [&](const flight& broken) { return broken.server == server; });
    }

    void endFlights()
    {
        std::vector<int> crashed;
        for (const flight& ended : m_flights) {
            if (ended.endsAt > m_clock.now())
                continue;
            if (ended.isCrashing)
                crashed.push_back(ended.server);
            else
                m_daemons[static_cast<std::size_t>(ended.daemon)]->recordServed(ended.parts);
        }
        std::erase_if(m_flights, [&](const flight& ended) { return !ended.isCrashing && ended.endsAt <= m_clock.now(); });
        for (const int server : crashed) {
            if (m_upAt[static_cast<std::size_t>(server)] > m_clock.now())
                continue;
            crash(server);
            if (++crashes == crashesBeforeContactTime)
                m_fifthCrashAt = m_clock.now();
        }
    }

    void exchange()
    {
        for (int sender = 0; sender < m_case.daemons; ++sender) {
            if (m_nextExchange[static_cast<std::size_t>(sender)] > m_clock.now())
                continue;
            m_nextExchange[static_cast<std::size_t>(sender)] += exchangeInterval;
            m_daemons[static_cast<std::size_t>(sender)]->takeTableChanges();
            const auto evidence = m_daemons[static_cast<std::size_t>(sender)]->takeNewEvidence();
            if (evidence.empty())
                continue;
            for (int receiver = 0; receiver < m_case.daemons; ++receiver) {
                if (receiver != sender && draw(1000) >= static_cast<int>(1000 * lossRate))
                    m_daemons[static_cast<std::size_t>(receiver)]->merge(evidence);
            }
        }
    }

    const load_case& m_case;
    manual_clock m_clock;
    time_point m_start {};
    std::mt19937 m_random { 5 };
    std::vector<std::unique_ptr<daemon_parts>> m_daemons;
    std::vector<time_point> m_nextExchange;
    std::vector<time_point> m_upAt; ///< Time at which each server runs again.
    std::vector<int> m_starts; ///< Number of processes that each server has had.
    std::vector<flight> m_flights;
    std::optional<time_point> m_fifthCrashAt;
};

} // namespace

BOOST_DATA_TEST_CASE(crashesEndWithinContactTimeAndSoundRequestsGoOn, boost::unit_test::data::make(loads), testCase)
{
    played_service service { testCase };
    service.play();
    BOOST_TEST_MESSAGE(testCase.name << ": " << service.crashes << " crashes, " << service.lateSends << " late sends, " << service.soundRefused << " of " << service.sound << " sound requests refused, " << service.earlySoundRefused << " of " << service.earlySound << " before");
    BOOST_TEST(service.crashes >= crashesBeforeContactTime - 2);
    BOOST_TEST(service.lateSends <= maxLaterSends);
    BOOST_TEST(100 * service.soundRefused <= service.sound);
    BOOST_TEST(50 * service.earlySoundRefused <= service.earlySound);
}
