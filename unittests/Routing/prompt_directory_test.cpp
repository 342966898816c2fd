// Tests the directory of the servers that hold prompts, and how it spreads over a fleet.
#include "radishflow/Routing/prompt_directory.h"
#include "radishflow/Support/manual_clock.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <deque>
#include <random>

using namespace radishflow;
using namespace std::chrono_literals;

namespace {

std::vector<std::uint32_t> sorted(const prompt_directory::holder_list& holders)
{
    std::vector<std::uint32_t> list;
    for (const prompt_directory::known_holder& holder : holders)
        list.push_back(holder.server);
    std::sort(list.begin(), list.end());
    return list;
}

using servers = std::vector<std::uint32_t>;

} // namespace

BOOST_AUTO_TEST_CASE(holdersAreKnownUntilTheirLastUseIsOld)
{
    manual_clock clock;
    prompt_directory directory;
    directory.record(1, 10, clock.now());
    clock.advance(15s);
    directory.record(1, 11, clock.now());
    BOOST_TEST((sorted(directory.find(1, clock.now())) == servers { 10, 11 }));
    clock.advance(6s);
    BOOST_TEST((sorted(directory.find(1, clock.now())) == servers { 11 }));
    BOOST_TEST(directory.find(2, clock.now()).empty());
    directory.forgetServer(11);
    BOOST_TEST(directory.find(1, clock.now()).empty());
}

BOOST_AUTO_TEST_CASE(leastRecentlyUsedHolderYields)
{
    manual_clock clock;
    prompt_directory directory;
    for (std::uint32_t server = 10; server < 15; ++server) {
        directory.record(1, server, clock.now());
        clock.advance(1s);
    }
    BOOST_TEST((sorted(directory.find(1, clock.now())) == servers { 11, 12, 13, 14 }));
    directory.merge({ .prompt = 1, .server = 9, .age = 8s }, clock.now());
    BOOST_TEST((sorted(directory.find(1, clock.now())) == servers { 11, 12, 13, 14 }));
}

namespace {

struct reading_case {
    const char* name;
    bool responds;
    bool fails; ///< A second request to the same server fails.
    servers holders;
    std::size_t reports;

    friend std::ostream& operator<<(std::ostream& out, const reading_case& test) { return out << test.name; }
};

const reading_case readingCases[] {
    { "the server still reads", false, false, { 10 }, 0 },
    { "the server has responded", true, false, { 10 }, 1 },
    { "the server failed", false, true, {}, 0 },
    { "the server failed after a response", true, true, { 10 }, 1 },
};

} // namespace

BOOST_DATA_TEST_CASE(serverHoldsAPromptOnceItResponds, boost::unit_test::data::make(readingCases), test)
{
    manual_clock clock;
    prompt_directory directory;
    directory.expect(1, 10, clock.now());
    BOOST_TEST(!directory.find(1, clock.now()).front().hasRead);
    clock.advance(200ms);
    if (test.responds)
        directory.record(1, 10, clock.now());
    if (test.fails)
        directory.withdraw(1, 10);
    const auto holders = directory.find(1, clock.now());
    BOOST_TEST((sorted(holders) == test.holders));
    BOOST_TEST(std::all_of(holders.begin(), holders.end(), [&](const auto& holder) { return holder.hasRead == test.responds; }));
    BOOST_TEST(directory.takeReports(clock.now(), 100).size() == test.reports);
}

BOOST_AUTO_TEST_CASE(readInProgressDisplacesNoHolder)
{
    manual_clock clock;
    prompt_directory directory;
    for (std::uint32_t server = 10; server < 14; ++server) {
        directory.record(1, server, clock.now());
        clock.advance(1s);
    }
    directory.expect(1, 20, clock.now());
    BOOST_TEST((sorted(directory.find(1, clock.now())) == servers { 10, 11, 12, 13 }));
    directory.withdraw(1, 20);
    BOOST_TEST((sorted(directory.find(1, clock.now())) == servers { 10, 11, 12, 13 }));
    directory.record(1, 20, clock.now());
    BOOST_TEST((sorted(directory.find(1, clock.now())) == servers { 11, 12, 13, 20 }));
    clock.advance(17500ms);
    directory.expect(1, 21, clock.now());
    BOOST_TEST((sorted(directory.find(1, clock.now())) == servers { 12, 13, 20, 21 })); // The first holder's use has expired.
}

BOOST_AUTO_TEST_CASE(expiredHolderReadsThePromptAgain)
{
    manual_clock clock;
    prompt_directory directory;
    directory.record(1, 10, clock.now());
    BOOST_TEST(directory.takeReports(clock.now(), 100).size() == 1U);
    clock.advance(30s);
    directory.expect(1, 10, clock.now());
    BOOST_TEST(!directory.find(1, clock.now()).front().hasRead);
    BOOST_TEST(directory.takeReports(clock.now(), 100).empty());
}

BOOST_AUTO_TEST_CASE(failureOfOneRequestLeavesTheReadOfAnother)
{
    manual_clock clock;
    prompt_directory directory;
    directory.expect(1, 10, clock.now());
    directory.expect(1, 10, clock.now());
    directory.withdraw(1, 10);
    BOOST_TEST((sorted(directory.find(1, clock.now())) == servers { 10 }));
    directory.withdraw(1, 10);
    BOOST_TEST(directory.find(1, clock.now()).empty());
}

namespace {

struct report_case {
    const char* name;
    duration secondUseAfter;
    duration reportAge;
    std::size_t reports; ///< Published after the second use.

    friend std::ostream& operator<<(std::ostream& out, const report_case& test) { return out << test.name; }
};

const report_case reportCases[] {
    { "own use soon after the published one", 3s, 0s, 0 },
    { "own use long after it", 5s, 0s, 1 },
    { "an old use of another daemon", 5s, 4s, 0 },
    { "a recent use of another daemon", 5s, 500ms, 1 },
    { "a use that is too old to count", 5s, 30s, 0 },
};

} // namespace

BOOST_DATA_TEST_CASE(useIsPublishedOnce, boost::unit_test::data::make(reportCases), test)
{
    manual_clock clock;
    prompt_directory directory;
    directory.record(1, 10, clock.now());
    BOOST_TEST(directory.takeReports(clock.now(), 100).size() == 1U);
    BOOST_TEST(directory.takeReports(clock.now(), 100).empty());
    clock.advance(test.secondUseAfter);
    directory.merge({ .prompt = 1, .server = 10, .age = test.reportAge }, clock.now());
    BOOST_TEST(directory.takeReports(clock.now(), 100).size() == test.reports);
}

BOOST_AUTO_TEST_CASE(directoryIsBounded)
{
    manual_clock clock;
    prompt_directory directory { { .maxPrompts = 100 } };
    for (std::uint32_t prompt = 0; prompt < 1000; ++prompt)
        directory.record(prompt, 1, clock.now());
    BOOST_TEST(directory.size() == 100U);
    BOOST_TEST(directory.takeReports(clock.now(), 40).size() <= 40U);
    clock.advance(30s);
    directory.record(2000, 1, clock.now());
    BOOST_TEST(directory.size() == 1U);
}

// Each daemon sends to six random ones four times a second, as hint_exchange does.
BOOST_DATA_TEST_CASE(useReachesTheWholeFleetAndTheReportsEnd, boost::unit_test::data::make({ 7, 61, 131, 350 }), daemons)
{
    constexpr int peersPerRound = 6;
    constexpr auto round = 250ms;
    manual_clock clock;
    std::mt19937 random { 3 };
    std::deque<prompt_directory> directories(static_cast<std::size_t>(daemons));
    directories.front().record(1, 10, clock.now());
    const auto informed = [&] { return std::count_if(directories.begin(), directories.end(), [&](const prompt_directory& directory) { return !directory.find(1, clock.now()).empty(); }); };
    const time_point usedAt = clock.now();
    int messages = 0;
    while (clock.now() - usedAt < 18s) {
        for (prompt_directory& sender : directories) {
            const auto reports = sender.takeReports(clock.now(), 100);
            for (int peer = 0; peer < peersPerRound && !reports.empty(); ++peer, ++messages)
                directories[random() % directories.size()].merge(reports.front(), clock.now() + 5ms);
        }
        clock.advance(round);
        if (clock.now() - usedAt == 2s)
            BOOST_TEST(informed() >= daemons * 98 / 100);
    }
    // Each daemon publishes the use once.
    BOOST_TEST(messages <= daemons * peersPerRound);
    clock.advance(3s);
    BOOST_TEST(informed() == 0);
}
