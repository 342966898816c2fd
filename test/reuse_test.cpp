// Tests that returning chats find their prefixes in the engines' caches, judged by the engines' own records.
#include "radishflow/Placement/placement_request.h"

#include "test_fleet.h"

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <boost/test/unit_test.hpp>

#include <atomic>
#include <random>
#include <thread>
#include <vector>

using namespace radishflow;
using std::chrono::milliseconds;

static constexpr int chats = 24;
static constexpr int callers = 8;

struct cache_counts {
    int hits = 0;
    int misses = 0;
};

static cache_counts countsOf(test_fleet& fleet)
{
    cache_counts sum;
    for (const fleet_member& engine : fleet.engines()) {
        const auto record = Poco::JSON::Parser {}.parse(test_fleet::record(engine.target)).extract<Poco::JSON::Object::Ptr>();
        sum.hits += record->getValue<int>("prefix_hits");
        sum.misses += record->getValue<int>("prefix_misses");
    }
    return sum;
}

// A caller comes back when it is told that nothing was run.
static bool takeTurn(test_fleet& fleet, std::size_t daemon, int chat)
{
    int status = 0;
    waitUntil(milliseconds { 8000 }, [&] {
        status = fleet.chat(fleet.daemons()[daemon], "chat-" + std::to_string(chat), "turn", 8).status;
        return status != 503;
    });
    return status == 200;
}

// Each chat takes its turns through daemons drawn at random; eight chats at a time, so that engines are at their
// bounds. Returns the turns that were answered.
static int takeTurns(test_fleet& fleet, int turns, std::uint32_t seed)
{
    std::atomic<int> answered = 0;
    std::vector<std::thread> threads;
    threads.reserve(callers);
    for (int caller = 0; caller < callers; ++caller) {
        threads.emplace_back([&, caller] {
            std::mt19937 random { seed + static_cast<std::uint32_t>(caller) };
            for (int turn = 0; turn < turns; ++turn) {
                for (int chat = caller; chat < chats; chat += callers)
                    answered += takeTurn(fleet, random() % fleet.daemons().size(), chat) ? 1 : 0;
            }
        });
    }
    for (std::thread& thread : threads)
        thread.join();
    return answered;
}

// Returns the share of turns that found their prefix.
static double hitShare(test_fleet& fleet, int turns, std::uint32_t seed)
{
    const cache_counts before = countsOf(fleet);
    const int answered = takeTurns(fleet, turns, seed);
    const cache_counts after = countsOf(fleet);
    BOOST_TEST(answered == turns * chats);
    const int hits = after.hits - before.hits;
    const int misses = after.misses - before.misses;
    BOOST_TEST_MESSAGE("seed " << seed << ": hits " << hits << ", misses " << misses);
    BOOST_REQUIRE(hits + misses > 0);
    return static_cast<double>(hits) / (hits + misses);
}

static void setState(test_fleet& fleet, const std::string& state)
{
    fleet.engines()[0].state = state;
    fleet.listHosts();
    std::this_thread::sleep_for(milliseconds { 1500 });
}

/// Engines whose events name a prefix.
static int enginesThatName(test_fleet& fleet, const std::string& prefix)
{
    int count = 0;
    for (const fleet_member& engine : fleet.engines())
        count += httpCall({ .url = "http://" + engine.target + "/kv/events?since=0" }).body.find('"' + prefix + '"') != std::string::npos ? 1 : 0;
    return count;
}

BOOST_AUTO_TEST_CASE(returningChatsFindTheirPrefixes)
{
    test_fleet fleet { { .engines = 4, .plains = 0, .engineArguments = { "--cold_limit=0", "--kv_prefixes=64", "--token_interval_ms=15" }, .coldLimit = 16 } };
    BOOST_REQUIRE(fleet.isReady());
    BOOST_REQUIRE(takeTurns(fleet, 1, 1) == chats);
    BOOST_TEST(hitShare(fleet, 5, 100) >= 0.7);
    setState(fleet, "leaving");
    for (int chat = 0; chat < chats; ++chat)
        BOOST_TEST(enginesThatName(fleet, prefixName(hashOfChat(service_id { "assistant" }, chat_id { "desk/chat-" + std::to_string(chat) }))) >= 1);
    BOOST_TEST(hitShare(fleet, 2, 200) >= 0.5);
    setState(fleet, "live");
    BOOST_TEST(hitShare(fleet, 3, 300) >= 0.5);
}
