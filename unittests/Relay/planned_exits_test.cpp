// Tests which ends of server processes are planned exits, and that crash records follow what becomes known of these.
#include "radishflow/Relay/crash_quarantine.h"
#include "radishflow/Relay/planned_exits.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <memory>
#include <optional>
#include <ostream>
#include <thread>
#include <vector>

using namespace radishflow;
using namespace std::chrono_literals;

namespace {

constexpr planned_exits_options options { .minNotice = 1000ms };
constexpr time_point start { 1h };

enum class entry_state {
    Ready,
    Draining,
    Removed,
    OtherProcess, ///< Another process is listed under the id.
};

/// The entry of a server in a list.
struct list_event {
    std::chrono::milliseconds at;
    entry_state state;
    std::chrono::milliseconds age = 0ms; ///< Since the list was last known to be current.
};

struct exit_case {
    const char* name;
    std::vector<list_event> lists;
    std::optional<std::chrono::milliseconds> saidAt; ///< When the server said that it leaves.
    std::chrono::milliseconds endedAt;
    process_end end;
    bool isPlanned;

    friend std::ostream& operator<<(std::ostream& out, const exit_case& testCase) { return out << testCase.name; }
};

const exit_case exits[] {
    { "without an announcement", { { 0ms, entry_state::Ready } }, std::nullopt, 5000ms, process_end::Broken, false },
    { "after a drain", { { 0ms, entry_state::Ready }, { 100ms, entry_state::Ready }, { 200ms, entry_state::Draining } }, std::nullopt, 2200ms, process_end::Broken, true },
    { "early in a drain", { { 0ms, entry_state::Ready }, { 100ms, entry_state::Ready }, { 200ms, entry_state::Draining } }, std::nullopt, 900ms, process_end::Broken, false },
    { "first seen while it drains", { { 0ms, entry_state::Draining } }, std::nullopt, 100ms, process_end::Broken, true },
    { "drain seen after a pause of this daemon", { { 0ms, entry_state::Ready }, { 4000ms, entry_state::Draining } }, std::nullopt, 4000ms, process_end::Broken, true },
    { "drain seen late by a daemon without the store", { { 0ms, entry_state::Ready }, { 3900ms, entry_state::Ready, 3900ms }, { 4000ms, entry_state::Draining } }, std::nullopt, 4000ms, process_end::Broken, true },
    { "after its entry was removed", { { 0ms, entry_state::Ready }, { 100ms, entry_state::Removed } }, std::nullopt, 2100ms, process_end::Broken, true },
    { "before its entry is removed", { { 0ms, entry_state::Ready }, { 3500ms, entry_state::Ready }, { 3600ms, entry_state::Removed } }, std::nullopt, 500ms, process_end::Broken, false },
    { "after its entry had lapsed and is back", { { 0ms, entry_state::Ready }, { 100ms, entry_state::Removed }, { 300ms, entry_state::Ready } }, std::nullopt, 2100ms, process_end::Broken, false },
    { "after it said that it leaves", { { 0ms, entry_state::Ready } }, 100ms, 2200ms, process_end::Broken, true },
    { "soon after it said that it leaves", { { 0ms, entry_state::Ready } }, 100ms, 600ms, process_end::Broken, false },
    { "replaced after a drain", { { 0ms, entry_state::Ready }, { 100ms, entry_state::Draining } }, std::nullopt, 4000ms, process_end::Replaced, true },
    { "replaced early in a drain", { { 0ms, entry_state::Ready }, { 100ms, entry_state::Draining } }, std::nullopt, 900ms, process_end::Replaced, false },
    { "replaced after its entry lapsed, as after a crash", { { 0ms, entry_state::Ready }, { 3600ms, entry_state::Removed } }, std::nullopt, 6000ms, process_end::Replaced, false },
    { "another process under its id", { { 0ms, entry_state::Ready }, { 3600ms, entry_state::OtherProcess } }, std::nullopt, 6000ms, process_end::Broken, false },
};

listed_server makeServer(std::int64_t processStartMs = 1, bool isDraining = false)
{
    return { .id = server_id { "i-1" }, .service = service_id { "s" }, .address = "10.0.0.1:80", .zone = zone_id { "z" }, .isDraining = isDraining, .processStartMs = processStartMs };
}

std::shared_ptr<const server_list> makeList(entry_state state)
{
    auto list = std::make_shared<server_list>();
    if (state != entry_state::Removed)
        list->servers.emplace(server_id { "i-1" }, makeServer(state == entry_state::OtherProcess ? 2 : 1, state == entry_state::Draining));
    return list;
}

} // namespace

BOOST_DATA_TEST_CASE(endOfAProcessIsPlannedIfItWasAnnouncedLongEnoughBefore, boost::unit_test::data::make(exits), testCase)
{
    planned_exits planned { options };
    for (const list_event& event : testCase.lists)
        planned.applyList(makeList(event.state), start + event.at, start + event.at - event.age);
    if (testCase.saidAt)
        planned.recordLeaving(makeServer(), start + *testCase.saidAt);
    BOOST_TEST(planned.explains(processIdOf(makeServer()), testCase.end, start + testCase.endedAt) == testCase.isPlanned);
}

BOOST_AUTO_TEST_CASE(noticesAreForgottenAfterTheirMemory)
{
    constexpr auto memory = 10min;
    planned_exits planned { { .minNotice = 1000ms, .memory = memory } };
    planned.applyList(makeList(entry_state::Draining), start, start);
    planned.applyList(makeList(entry_state::Removed), start + 1s, start + 1s);
    BOOST_TEST(planned.explains(processIdOf(makeServer()), process_end::Broken, start + memory + 2s));
    planned.applyList(makeList(entry_state::Removed), start + memory + 2s, start + memory + 2s);
    BOOST_TEST(!planned.explains(processIdOf(makeServer()), process_end::Broken, start + memory + 2s));
}

namespace {

/// The ways in which a daemon learns of what it takes for a crash.
enum class crash_source {
    BrokenStream,
    AbandonedAttempt,
    OtherDaemon, ///< As a datagram or a row of the store.
};

struct record_case {
    const char* name;
    crash_source source;
    bool isAnnounced; ///< Whether the exit was announced.
    bool isLate; ///< Whether the announcement arrives after the end.
    bool isQuarantined; ///< After two such ends.

    friend std::ostream& operator<<(std::ostream& out, const record_case& testCase) { return out << testCase.name; }
};

const record_case records[] {
    { "crashes break the stream", crash_source::BrokenStream, false, false, true },
    { "crashes of abandoned attempts", crash_source::AbandonedAttempt, false, false, true },
    { "crashes from other daemons", crash_source::OtherDaemon, false, false, true },
    { "planned exits break the stream", crash_source::BrokenStream, true, false, false },
    { "planned exits of abandoned attempts", crash_source::AbandonedAttempt, true, false, false },
    { "planned exits from other daemons", crash_source::OtherDaemon, true, false, false },
    { "planned exits break the stream, announcement late", crash_source::BrokenStream, true, true, false },
    { "planned exits of abandoned attempts, announcement late", crash_source::AbandonedAttempt, true, true, false },
    { "planned exits from other daemons, announcement late", crash_source::OtherDaemon, true, true, false },
};

listed_server numberedServer(int number, bool isDraining = false)
{
    listed_server server = makeServer(1, isDraining);
    server.id = server_id { "i-" + std::to_string(number) };
    server.address += std::to_string(number);
    return server;
}

std::shared_ptr<const server_list> listOf(int servers, int draining)
{
    auto list = std::make_shared<server_list>();
    for (int number = 0; number < servers; ++number) {
        const listed_server server = numberedServer(number, number < draining);
        list->servers.emplace(server.id, server);
    }
    return list;
}

} // namespace

BOOST_DATA_TEST_CASE(plannedExitsQuarantineNothingHoweverTheyShow, boost::unit_test::data::make(records), testCase)
{
    constexpr int ends = 2;
    constexpr int servers = 4;
    const request_identity request { .content = { .high = 1, .low = 2 }, .sharedParts = { 7 } };
    crash_quarantine crashes { { .minNotice = 0ms } };
    const boottime_clock clock;
    const auto announce = [&] {
        if (testCase.isAnnounced)
            crashes.applyServerList(listOf(servers, ends), clock.now());
    };
    crashes.applyServerList(listOf(servers, 0), clock.now());
    if (!testCase.isLate)
        announce();
    for (int number = 0; number < ends; ++number) {
        const listed_server server = numberedServer(number);
        switch (testCase.source) {
        case crash_source::BrokenStream:
            crashes.recordCrash(request, server);
            break;
        case crash_source::AbandonedAttempt:
            crashes.recordAbandoned(request, server);
            crashes.recordCrash(server);
            break;
        case crash_source::OtherDaemon:
            crashes.merge({ { .fingerprint = request.content, .server = processIdOf(server), .remaining = crash_quarantine::retention } });
            crashes.mergeParts({ { .part = 7, .process = processIdOf(server), .zone = server.zone } });
            break;
        }
    }
    if (testCase.isLate)
        announce();
    BOOST_TEST(crashes.remainingQuarantine(request).has_value() == testCase.isQuarantined);
    BOOST_TEST(crashes.hasSuspectParts(request) == testCase.isQuarantined);
    const bool isOwn = testCase.source != crash_source::OtherDaemon;
    BOOST_TEST(crashes.takeNewRecords().size() == (isOwn && testCase.isQuarantined ? 2U : 0U));
    BOOST_TEST(crashes.takeWithdrawnRecords().size() == (isOwn && testCase.isLate ? 2U : 0U));
}

// A request that crashes servers does so also while they drain, long before they would exit.
BOOST_AUTO_TEST_CASE(crashesEarlyInADrainAreCounted)
{
    const request_identity request { .content = { .high = 1, .low = 2 } };
    crash_quarantine crashes { { .minNotice = 1h } };
    const boottime_clock clock;
    crashes.applyServerList(listOf(4, 0), clock.now());
    crashes.applyServerList(listOf(4, 4), clock.now());
    for (int number = 0; number < 2; ++number)
        crashes.recordCrash(request, numberedServer(number));
    BOOST_TEST(crashes.remainingQuarantine(request).has_value());
}
