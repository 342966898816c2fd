// Tests the sharing of load reports and its datagrams.
#include "radishflow/Fleet/load_codec.h"
#include "radishflow/Fleet/load_exchange.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <mutex>
#include <random>
#include <thread>

using namespace radishflow;
using namespace std::chrono_literals;

BOOST_DATA_TEST_CASE(reportsTravelUnchanged, boost::unit_test::data::make({ 0, 1, 90, 100, 150 }), count)
{
    std::vector<shared_load> loads;
    loads.reserve(static_cast<std::size_t>(count));
    for (int number = 0; number < count; ++number)
        loads.push_back({ .server = 0xfffffff0U + static_cast<std::uint32_t>(number), .requests = number * 3 });
    const std::string datagram = encodeLoads(loads);
    BOOST_TEST(datagram.size() <= 1200U);
    const auto decoded = decodeLoads(datagram);
    BOOST_REQUIRE(decoded.has_value());
    BOOST_REQUIRE(decoded->size() == std::min(loads.size(), mostSharedLoads));
    for (std::size_t index = 0; index < decoded->size(); ++index) {
        BOOST_TEST(decoded->at(index).server == loads[index].server);
        BOOST_TEST(decoded->at(index).requests == loads[index].requests);
    }
}

BOOST_AUTO_TEST_CASE(anyBytesAreTakenOrRefused)
{
    std::mt19937 random { 11 };
    std::uniform_int_distribution<int> byte { 0, 255 };
    for (int round = 0; round < 20000; ++round) {
        std::string bytes = round % 2 == 0 ? encodeLoads({ { 1, 2 }, { 3, 4 } }) : std::string(static_cast<std::size_t>(round % 40), '\0');
        for (std::size_t change = 0; change < 3 && !bytes.empty(); ++change)
            bytes[static_cast<std::size_t>(random()) % bytes.size()] = static_cast<char>(byte(random));
        const auto decoded = decodeLoads(bytes);
        if (decoded)
            BOOST_REQUIRE(decoded->size() <= mostSharedLoads);
    }
}

BOOST_AUTO_TEST_CASE(reportsReachAnotherDaemon)
{
    constexpr int port = 28471;
    std::mutex mutex;
    std::vector<shared_load> heard;
    const auto note = [&](const std::vector<shared_load>& loads) {
        const std::lock_guard lock { mutex };
        heard.insert(heard.end(), loads.begin(), loads.end());
    };
    load_exchange one { { .address = "127.0.0.21:" + std::to_string(port), .heard = [](const std::vector<shared_load>&) {} } };
    load_exchange two { { .address = "127.0.0.22:" + std::to_string(port), .heard = note } };
    const fleet_view fleet { .self = daemon_id { "one" }, .daemons = { { .id = daemon_id { "one" }, .callerAddress = "127.0.0.21:1" }, { .id = daemon_id { "two" }, .callerAddress = "127.0.0.22:1" } } };
    one.send({ { .server = 5, .requests = 7 } }, fleet);
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
