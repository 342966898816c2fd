// Tests the sharing of hints and its datagrams.
#include "radishflow/Fleet/hint_codec.h"
#include "radishflow/Fleet/hint_exchange.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <mutex>
#include <random>
#include <thread>

using namespace radishflow;
using namespace std::chrono_literals;

BOOST_DATA_TEST_CASE(reportsTravelUnchanged, boost::unit_test::data::make({ 0, 1, 79, 80, 150 }), count)
{
    std::vector<shared_load> loads;
    loads.reserve(static_cast<std::size_t>(count));
    for (int number = 0; number < count; ++number)
        loads.push_back({ .server = 0xfffffff0U + static_cast<std::uint32_t>(number), .requests = number * 3 });
    std::vector<crash_record> crashes;
    crashes.reserve(static_cast<std::size_t>(count));
    for (int number = 0; number < count / 10; ++number)
        crashes.push_back({ .fingerprint = { .high = ~std::uint64_t { 0 } - static_cast<std::uint64_t>(number), .low = 5 }, .server = server_id { "i-" + std::string(16, 'a') + std::to_string(number) }, .remaining = 9s });
    std::vector<prompt_holder> homes;
    homes.reserve(static_cast<std::size_t>(count));
    for (int number = 0; number < count; ++number)
        homes.push_back({ .prompt = 0xffffff00U - static_cast<std::uint32_t>(number), .server = 0xfffffff0U });
    const std::string datagram = encodeHints({ .loads = loads, .crashes = crashes, .homes = homes });
    BOOST_TEST(datagram.size() <= 1200U);
    const auto decoded = decodeHints(datagram);
    BOOST_REQUIRE(decoded.has_value());
    BOOST_REQUIRE(decoded->loads.size() == std::min(loads.size(), mostSharedLoads));
    BOOST_REQUIRE(decoded->crashes.size() == std::min(crashes.size(), mostSharedCrashes));
    BOOST_REQUIRE(decoded->homes.size() == std::min(homes.size(), mostSharedHomes));
    for (std::size_t index = 0; index < decoded->homes.size(); ++index) {
        BOOST_TEST(decoded->homes[index].prompt == homes[index].prompt);
        BOOST_TEST(decoded->homes[index].server == homes[index].server);
    }
    for (std::size_t index = 0; index < decoded->crashes.size(); ++index) {
        BOOST_TEST((decoded->crashes[index].fingerprint == crashes[index].fingerprint));
        BOOST_TEST(decoded->crashes[index].server.value() == crashes[index].server.value());
        BOOST_TEST((decoded->crashes[index].remaining == 9s));
    }
    for (std::size_t index = 0; index < decoded->loads.size(); ++index) {
        BOOST_TEST(decoded->loads[index].server == loads[index].server);
        BOOST_TEST(decoded->loads[index].requests == loads[index].requests);
    }
}

BOOST_AUTO_TEST_CASE(anyBytesAreTakenOrRefused)
{
    std::mt19937 random { 11 };
    std::uniform_int_distribution<int> byte { 0, 255 };
    for (int round = 0; round < 20000; ++round) {
        std::string bytes = round % 2 == 0 ? encodeHints({ .loads = { { 1, 2 }, { 3, 4 } }, .crashes = { { .fingerprint = { 1, 2 }, .server = server_id { "i" }, .remaining = 1s } }, .homes = { { 5, 6 }, { 7, 8 } } }) : std::string(static_cast<std::size_t>(round % 40), '\0');
        for (std::size_t change = 0; change < 3 && !bytes.empty(); ++change)
            bytes[static_cast<std::size_t>(random()) % bytes.size()] = static_cast<char>(byte(random));
        const auto decoded = decodeHints(bytes);
        if (decoded)
            BOOST_REQUIRE((decoded->loads.size() <= mostSharedLoads && decoded->homes.size() <= mostSharedHomes));
    }
}

BOOST_AUTO_TEST_CASE(reportsReachAnotherDaemon)
{
    constexpr int port = 28471;
    std::mutex mutex;
    std::vector<shared_load> heard;
    const auto note = [&](const server_hints& hints) {
        const std::lock_guard lock { mutex };
        heard.insert(heard.end(), hints.loads.begin(), hints.loads.end());
    };
    hint_exchange one { { .address = "127.0.0.21:" + std::to_string(port), .heard = [](const server_hints&) {} } };
    hint_exchange two { { .address = "127.0.0.22:" + std::to_string(port), .heard = note } };
    const fleet_view fleet { .self = daemon_id { "one" }, .daemons = { { .id = daemon_id { "one" }, .callerAddress = "127.0.0.21:1" }, { .id = daemon_id { "two" }, .callerAddress = "127.0.0.22:1" } } };
    one.send({ .loads = { { .server = 5, .requests = 7 } } }, fleet);
    for (int wait = 0; wait < 200; ++wait) {
        std::this_thread::sleep_for(10ms);
        const std::lock_guard lock { mutex };
        if (!heard.empty())
            break;
    }
    const std::lock_guard lock { mutex };
    BOOST_REQUIRE(heard.size() == 1U);
    BOOST_TEST(heard.front().server == 5U);
    BOOST_TEST(heard.front().requests == 7);
}
