// Tests that the prompt part which crashes servers is quarantined, and neither the parts beside it nor those of a zone that lost power.
#include "radishflow/Admission/part_quarantine.h"
#include "radishflow/Support/manual_clock.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <memory>
#include <ostream>
#include <random>
#include <string>

using namespace radishflow;
using namespace std::chrono_literals;

namespace {

using part_list = std::vector<std::uint64_t>;
using daemon_parts = part_quarantine<manual_clock>;

constexpr std::size_t serversPerZone = 6;
constexpr std::uint64_t shared = 1; ///< First part of all requests.
constexpr std::uint64_t crashing = 2;
constexpr std::uint64_t beside = 3; ///< In some of the crashing requests.

server_id process(int number)
{
    return server_id { "i-" + std::to_string(number) };
}

/// One crash, and the parts in flight.
struct crash_event {
    std::chrono::milliseconds at;
    part_list parts;
    bool isSharedServedAfter = false;
};

struct decision_case {
    const char* name;
    std::vector<crash_event> crashes;
    part_list request;
    bool isRefused;
};

std::ostream& operator<<(std::ostream& out, const decision_case& testCase) { return out << testCase.name; }

const decision_case decisions[] {
    { "two crashes", { { 0s, { crashing } }, { 1s, { crashing } } }, { crashing }, false },
    { "three crashes", { { 0s, { crashing } }, { 1s, { crashing } }, { 2s, { crashing } } }, { 7, crashing }, true },
    { "three at once", { { 0ms, { crashing } }, { 100ms, { crashing } }, { 200ms, { crashing } } }, { crashing }, false },
    { "part that is cleared in between", { { 0s, { shared, crashing } }, { 1s, { shared, crashing }, true }, { 2s, { shared, crashing } } }, { shared }, false },
    { "part beside a cleared one", { { 0s, { shared, crashing } }, { 1s, { shared, crashing }, true }, { 2s, { shared, crashing } } }, { shared, crashing }, true },
    { "part beside the crashing one", { { 0s, { crashing, beside } }, { 1s, { crashing, beside } }, { 2s, { crashing, beside } }, { 3s, { crashing } } }, { beside }, false },
    { "one of two that cannot be told apart", { { 0s, { crashing, beside } }, { 1s, { crashing, beside } }, { 2s, { crashing, beside } } }, { beside }, false },
    { "both of two that cannot be told apart", { { 0s, { crashing, beside } }, { 1s, { crashing, beside } }, { 2s, { crashing, beside } } }, { crashing, beside }, true },
    { "two crashing parts", { { 0s, { 8 } }, { 1s, { 9 } }, { 2s, { 8 } }, { 3s, { 9 } }, { 4s, { 8 } }, { 5s, { 9 } } }, { 9 }, true },
    { "request without parts", { { 0s, { crashing } }, { 1s, { crashing } }, { 2s, { crashing } } }, {}, false },
};

/// Daemons that exchange evidence by messages, of which some are lost, and by a table.
class fleet {
public:
    explicit fleet(int size)
    {
        for (int number = 0; number < size; ++number)
            m_daemons.push_back(makeDaemon());
    }

    daemon_parts& daemon(int number) { return *m_daemons.at(static_cast<std::size_t>(number)); }
    int size() const { return static_cast<int>(m_daemons.size()); }

    void restart(int number)
    {
        m_daemons.at(static_cast<std::size_t>(number)) = makeDaemon();
        std::vector<part_evidence> rows = m_table;
        for (std::size_t row = 0; row < rows.size(); ++row)
            rows[row].age = clock.now() - m_writtenFor[row];
        daemon(number).mergeTable(rows);
    }

    /// Delivers what the daemons have published; messages from and to a cut-off daemon are lost.
    void exchange(int cutOff = -1)
    {
        for (int sender = 0; sender < size(); ++sender) {
            const auto evidence = daemon(sender).takeNewEvidence();
            for (int receiver = 0; receiver < size(); ++receiver) {
                if (receiver != sender && sender != cutOff && receiver != cutOff)
                    daemon(receiver).merge(evidence);
            }
            const part_table_changes changes = daemon(sender).takeTableChanges();
            for (const part_evidence& row : changes.added) {
                m_table.push_back(row);
                m_writtenFor.push_back(clock.now() - row.age);
            }
            for (const part_evidence& row : changes.removed) {
                for (std::size_t index = m_table.size(); index-- > 0;) {
                    if (m_table[index].part == row.part && m_table[index].process == row.process) {
                        m_table.erase(m_table.begin() + static_cast<std::ptrdiff_t>(index));
                        m_writtenFor.erase(m_writtenFor.begin() + static_cast<std::ptrdiff_t>(index));
                    }
                }
            }
            for (int receiver = 0; receiver < size(); ++receiver) {
                if (receiver == sender)
                    continue;
                daemon(receiver).mergeTable(changes.added);
                daemon(receiver).removeFromTable(changes.removed);
            }
        }
    }

    std::size_t rows() const { return m_table.size(); }

    manual_clock clock;

private:
    std::unique_ptr<daemon_parts> makeDaemon()
    {
        auto daemon = std::make_unique<daemon_parts>(clock);
        daemon->updateZoneSizes({ { zone_id { "z" }, serversPerZone } });
        return daemon;
    }

    std::vector<std::unique_ptr<daemon_parts>> m_daemons;
    std::vector<part_evidence> m_table;
    std::vector<time_point> m_writtenFor; ///< Time of the crash of each row.
};

} // namespace

namespace {

/// Servers of the zone that crash together.
struct zone_loss {
    std::chrono::milliseconds at;
    int servers;
    int withPart; ///< Of them, the first ones; the others had a request without the part.
};

struct zone_loss_case {
    const char* name;
    std::vector<zone_loss> losses;
    bool isServedBetween = false; ///< A response to a request with the part comes before the last loss.
    bool isRefused = false;

    friend std::ostream& operator<<(std::ostream& out, const zone_loss_case& testCase) { return out << testCase.name; }
};

const zone_loss_case zoneLosses[] {
    { "one loss", { { 0s, 6, 6 } }, false, false },
    { "two batches", { { 0s, 4, 4 }, { 5s, 3, 3 } }, false, true },
    { "two batches beside other crashes", { { 0s, 6, 3 }, { 5s, 6, 2 } }, false, true },
    { "a batch that comes again soon", { { 0s, 4, 4 }, { 1s, 4, 4 } }, false, false },
    { "two losses with a response in between", { { 0s, 6, 6 }, { 5s, 6, 6 } }, true, false },
    { "two losses with the part at one server each", { { 0s, 6, 1 }, { 5s, 6, 1 } }, false, false },
    { "two losses with the part at several servers once", { { 0s, 6, 4 }, { 5s, 6, 1 } }, false, false },
};

} // namespace

BOOST_DATA_TEST_CASE(partThatCrashesAZoneAgainAndAgainIsRefused, boost::unit_test::data::make(zoneLosses), testCase)
{
    manual_clock clock;
    clock.advance(1h);
    const time_point start = clock.now();
    daemon_parts parts { clock };
    parts.updateZoneSizes({ { zone_id { "z" }, serversPerZone } });
    int crashed = 0;
    for (const zone_loss& loss : testCase.losses) {
        if (testCase.isServedBetween && crashed > 0) {
            clock.advance(1s);
            parts.recordServed({ crashing });
        }
        clock.advance(start + loss.at - clock.now());
        for (int server = 0; server < loss.servers; ++server)
            parts.recordCrash(process(crashed++), zone_id { "z" }, server < loss.withPart ? part_list { shared, crashing } : part_list { shared });
        clock.advance(500ms);
        parts.recordServed({ shared });
    }
    BOOST_TEST(parts.isQuarantined({ crashing }) == testCase.isRefused);
    BOOST_TEST(!parts.isQuarantined({ shared }));
}

BOOST_DATA_TEST_CASE(requestIsRefusedIfItHasThePartThatExplainsTheCrashes, boost::unit_test::data::make(decisions), testCase)
{
    manual_clock clock;
    clock.advance(1h);
    const time_point start = clock.now();
    daemon_parts parts { clock };
    int crashes = 0;
    for (const crash_event& crash : testCase.crashes) {
        clock.advance(start + crash.at - clock.now());
        parts.recordCrash(process(crashes++), zone_id { "z" }, crash.parts);
        clock.advance(10ms);
        if (crash.isSharedServedAfter)
            parts.recordServed({ shared });
    }
    BOOST_TEST(parts.isQuarantined(testCase.request) == testCase.isRefused);
}

BOOST_AUTO_TEST_CASE(zoneThatLosesPowerBlamesNoPartAtAnyDaemon)
{
    fleet daemons { 7 };
    daemons.clock.advance(1h);
    for (int round = 0; round < 3; ++round) {
        for (int server = 0; server < static_cast<int>(serversPerZone); ++server) {
            daemons.daemon(server).recordCrash(process(10 * round + server), zone_id { "z" }, { shared, 100 + static_cast<std::uint64_t>(server) });
            daemons.clock.advance(20ms);
        }
        daemons.exchange();
        daemons.clock.advance(600ms);
        daemons.exchange();
        daemons.daemon(round).recordServed({ shared });
        daemons.exchange();
        daemons.clock.advance(5s);
    }
    for (int daemon = 0; daemon < daemons.size(); ++daemon)
        BOOST_TEST(daemons.daemon(daemon).quarantined().empty());
}

// Sound requests share the first part and one of eight others with the crashing ones.
BOOST_DATA_TEST_CASE(crashingPartIsFoundAndSoundOnesAreServedAtAllDaemons, boost::unit_test::data::make({ 7, 350 }), size)
{
    fleet daemons { size };
    daemons.clock.advance(1h);
    std::mt19937 random { 7 };
    const auto drawDaemon = [&] { return static_cast<int>(random() % static_cast<unsigned>(size)); };
    const auto drawPart = [&] { return std::uint64_t { 10 } + random() % 8; };
    int crashes = 0;
    int refused = 0;
    int lateSends = 0;
    int soundRefused = 0;
    int sound = 0;
    for (int step = 0; step < 200; ++step) {
        const int cutOff = step >= 40 && step < 80 ? 2 : -1;
        for (int request = 0; request < 4; ++request) {
            const part_list parts { shared, drawPart() };
            daemon_parts& daemon = daemons.daemon(drawDaemon());
            ++sound;
            soundRefused += daemon.isQuarantined(parts) ? 1 : 0;
            if (!daemon.isQuarantined(parts))
                daemon.recordServed(parts);
        }
        if (step % 4 == 0) {
            const part_list parts { shared, crashing, drawPart() };
            daemon_parts& daemon = daemons.daemon(drawDaemon());
            if (daemon.isQuarantined(parts)) {
                ++refused;
            } else {
                lateSends += crashes >= 5 ? 1 : 0;
                const server_id crashed = process(crashes++);
                daemon.recordCrash(crashed, zone_id { "z" }, parts);
                daemons.daemon(drawDaemon()).recordCrash(crashed, zone_id { "z" }, { shared, drawPart() });
            }
        }
        daemons.exchange(cutOff);
        daemons.clock.advance(100ms);
        if (step == 60) {
            for (int daemon = 0; daemon < size; ++daemon)
                daemons.restart(daemon);
        }
    }
    BOOST_TEST(lateSends <= 3);
    BOOST_TEST(refused >= 40);
    BOOST_TEST(soundRefused * 50 <= sound);
    for (int daemon = 0; daemon < size; ++daemon)
        BOOST_TEST(daemons.daemon(daemon).isQuarantined({ shared, crashing }));
}

// Daemons send their evidence at different times after a crash; a zone's loss of power must look the same to all.
BOOST_AUTO_TEST_CASE(evidenceStatesTheAgeOfTheCrash)
{
    manual_clock clock;
    clock.advance(1h);
    daemon_parts parts { clock };
    parts.recordCrash(process(1), zone_id { "z" }, { shared });
    clock.advance(200ms);
    parts.recordServed({ shared });
    clock.advance(40ms);
    const auto evidence = parts.takeNewEvidence();
    BOOST_REQUIRE(evidence.size() == 2U);
    BOOST_TEST((evidence[0].age == 240ms));
    BOOST_TEST((evidence[1].age == 40ms));
    BOOST_TEST(parts.takeNewEvidence().empty());
}

// A daemon that was paused reads all datagrams at once, and then the table.
BOOST_AUTO_TEST_CASE(crashesThatArriveTogetherAreSeparateByTheTable)
{
    manual_clock clock;
    clock.advance(1h);
    daemon_parts parts { clock };
    for (int crash = 0; crash < 3; ++crash)
        parts.merge({ { .part = crashing, .process = process(crash), .zone = zone_id { "z" } } });
    BOOST_TEST(!parts.isQuarantined({ crashing }));
    for (int crash = 0; crash < 3; ++crash)
        parts.mergeTable({ { .part = crashing, .process = process(crash), .zone = zone_id { "z" }, .age = 1s * (4 - crash) } });
    BOOST_TEST(parts.isQuarantined({ crashing }));
}

// In a large fleet many daemons see the same crash, and serve the same part right after it.
BOOST_AUTO_TEST_CASE(evidenceThatAnotherDaemonHasSentIsNotSentAgain)
{
    manual_clock clock;
    clock.advance(1h);
    daemon_parts one { clock };
    daemon_parts other { clock };
    one.recordCrash(process(1), zone_id { "z" }, { shared });
    other.recordCrash(process(1), zone_id { "z" }, { shared });
    other.merge(one.takeNewEvidence());
    BOOST_TEST(other.takeNewEvidence().empty());
    clock.advance(100ms);
    one.recordServed({ shared });
    const auto response = one.takeNewEvidence();
    clock.advance(100ms);
    other.recordCrash(process(2), zone_id { "z" }, { shared });
    BOOST_TEST(other.takeNewEvidence().size() == 1U);
    clock.advance(100ms);
    other.recordServed({ shared });
    std::vector<part_evidence> delayed = response;
    delayed.front().age = 200ms;
    other.merge(delayed); // Precedes the second crash, so it does not clear the part of it.
    BOOST_TEST(other.takeNewEvidence().size() == 1U);
    one.recordServed({ shared });
    BOOST_TEST(one.takeNewEvidence().empty()); // Published since the last crash that it knows.
}

BOOST_AUTO_TEST_CASE(clearedCrashesLeaveTheTable)
{
    fleet daemons { 3 };
    daemons.clock.advance(1h);
    daemons.daemon(0).recordCrash(process(1), zone_id { "z" }, { shared, crashing });
    daemons.exchange();
    BOOST_TEST(daemons.rows() == 0U); // A response may clear the parts first.
    daemons.clock.advance(600ms);
    daemons.exchange();
    BOOST_TEST(daemons.rows() == 2U);
    daemons.daemon(1).recordServed({ shared });
    daemons.exchange();
    BOOST_TEST(daemons.rows() == 1U);
    BOOST_TEST(!daemons.daemon(2).hasSuspect({ shared }));
    BOOST_TEST(daemons.daemon(2).hasSuspect({ crashing }));
}

BOOST_AUTO_TEST_CASE(memoryIsBoundedAndRecordsExpire)
{
    manual_clock clock;
    clock.advance(1h);
    daemon_parts parts { clock, { .retention = 10min, .maxSuspects = 100 } };
    for (int crash = 0; crash < 3; ++crash) {
        parts.recordCrash(process(crash), zone_id { "z" }, { crashing });
        clock.advance(1s);
    }
    for (std::uint64_t part = 1000; part < 3000; ++part)
        parts.recordCrash(process(9), zone_id { "z" }, { part });
    BOOST_TEST(parts.size() <= 100U);
    BOOST_TEST(parts.isQuarantined({ crashing }));
    clock.advance(10min);
    parts.takeTableChanges();
    BOOST_TEST(!parts.isQuarantined({ crashing }));
    BOOST_TEST(parts.size() == 0U);
}
