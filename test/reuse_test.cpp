// Tests that later turns of a chat find its prefix in an engine's cache, as counted by the engines' own records.
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

static constexpr int chatCount = 24;
static constexpr int callerCount = 8;

struct cache_counts {
    int hits = 0;
    int misses = 0;
};

static cache_counts totalCacheCounts(test_fleet& fleet)
{
    cache_counts sum;
    for (const fleet_member& engine : fleet.engines()) {
        const auto record = Poco::JSON::Parser {}.parse(test_fleet::record(engine.target)).extract<Poco::JSON::Object::Ptr>();
        sum.hits += record->getValue<int>("prefix_hits");
        sum.misses += record->getValue<int>("prefix_misses");
    }
    return sum;
}

// Sends one turn and retries while the response is 503 (the request was not run). Returns whether it succeeded.
static bool sendTurn(test_fleet& fleet, std::size_t daemon, int chat)
{
    int status = 0;
    waitUntil(milliseconds { 8000 }, [&] {
        status = fleet.chat(fleet.daemons()[daemon], "chat-" + std::to_string(chat), "turn", 8).status;
        return status != 503;
    });
    return status == 200;
}

// Sends the turns of each chat through randomly chosen daemons, eight chats at a time, so that the engines are at their
// limits. Returns the number of turns that succeeded.
static int sendTurns(test_fleet& fleet, int turns, std::uint32_t seed)
{
    std::atomic<int> succeeded = 0;
    std::vector<std::thread> threads;
    threads.reserve(callerCount);
    for (int caller = 0; caller < callerCount; ++caller) {
        threads.emplace_back([&, caller] {
            std::mt19937 random { seed + static_cast<std::uint32_t>(caller) };
            for (int turn = 0; turn < turns; ++turn) {
                for (int chat = caller; chat < chatCount; chat += callerCount)
                    succeeded += sendTurn(fleet, random() % fleet.daemons().size(), chat) ? 1 : 0;
            }
        });
    }
    for (std::thread& thread : threads)
        thread.join();
    return succeeded;
}

// Returns the share of turns whose prefix was in the cache of the engine that ran them.
static double cacheHitRate(test_fleet& fleet, int turns, std::uint32_t seed)
{
    const cache_counts before = totalCacheCounts(fleet);
    const int succeeded = sendTurns(fleet, turns, seed);
    const cache_counts after = totalCacheCounts(fleet);
    BOOST_TEST(succeeded == turns * chatCount);
    const int hits = after.hits - before.hits;
    const int misses = after.misses - before.misses;
    BOOST_TEST_MESSAGE("seed " << seed << ": hits " << hits << ", misses " << misses);
    BOOST_REQUIRE(hits + misses > 0);
    return static_cast<double>(hits) / (hits + misses);
}

static void setFirstEngineState(test_fleet& fleet, const std::string& state)
{
    fleet.engines()[0].state = state;
    fleet.listHosts();
    std::this_thread::sleep_for(milliseconds { 1500 });
}

/// Returns the number of engines whose cache events contain the prefix.
static int countEnginesWithPrefix(test_fleet& fleet, const std::string& prefix)
{
    int count = 0;
    for (const fleet_member& engine : fleet.engines())
        count += httpCall({ .url = "http://" + engine.target + "/kv/events?since=0" }).body.find('"' + prefix + '"') != std::string::npos ? 1 : 0;
    return count;
}

BOOST_AUTO_TEST_CASE(laterTurnsOfChatsFindTheirPrefixesInTheCaches)
{
    test_fleet fleet { { .engines = 4, .plains = 0, .engineArguments = { "--cold_limit=0", "--kv_prefixes=64", "--token_interval_ms=15" }, .coldLimit = 16 } };
    BOOST_REQUIRE(fleet.isReady());
    BOOST_REQUIRE(sendTurns(fleet, 1, 1) == chatCount);
    BOOST_TEST(cacheHitRate(fleet, 5, 100) >= 0.7);
    setFirstEngineState(fleet, "leaving");
    for (int chat = 0; chat < chatCount; ++chat)
        BOOST_TEST(countEnginesWithPrefix(fleet, prefixName(hashOfChat(service_id { "assistant" }, chat_id { "desk/chat-" + std::to_string(chat) }))) >= 1);
    BOOST_TEST(cacheHitRate(fleet, 2, 200) >= 0.5);
    setFirstEngineState(fleet, "live");
    BOOST_TEST(cacheHitRate(fleet, 3, 300) >= 0.5);
}
