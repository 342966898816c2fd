// Tests that a server takes no more memory for its responses than the others leave, and that reservations return what they took.
#include "radishflow/Relay/response_memory.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <string>
#include <utility>

using namespace radishflow;

static constexpr std::size_t maxBytes = 64U << 20U;
static constexpr std::size_t blockBytes = 65536;

/// Adds blocks to the shares of servers in turn until there is no room for any of them.
static void fill(response_memory& memory, int servers)
{
    bool hasRoom = true;
    while (hasRoom) {
        hasRoom = false;
        for (int server = 0; server < servers; ++server)
            hasRoom |= memory.tryAdd(server_id { "faulty-" + std::to_string(server) }, blockBytes);
    }
}

// Guards against responses that fail because other servers have filled the daemon's memory.
BOOST_DATA_TEST_CASE(serversThatSendWithoutEndLeaveRoom, boost::unit_test::data::make({ 1, 2, 12 }), servers)
{
    response_memory memory { maxBytes };
    fill(memory, servers);
    const std::size_t left = maxBytes / static_cast<std::size_t>(servers + 1);
    BOOST_TEST(memory.bytes() <= maxBytes - left + blockBytes);
    BOOST_TEST(memory.tryAdd(server_id { "sound" }, left / 2));
    BOOST_TEST(!memory.tryAdd(server_id { "faulty-0" }, 1));
    memory.remove(server_id { "unknown" }, 1);
    memory.remove(server_id { "faulty-0" }, blockBytes);
    BOOST_TEST(!memory.tryAdd(server_id { "faulty-0" }, 2 * left));
}

BOOST_AUTO_TEST_CASE(reservationsGrowShrinkAndReturnTheirShare)
{
    constexpr std::size_t uncounted = response_reservation::uncountedBytes;
    const server_id server { "i-0" };
    response_memory memory { 10 * uncounted };
    response_reservation kept { memory, server };
    {
        response_reservation first { memory, server };
        BOOST_TEST(first.tryGrow(uncounted));
        BOOST_TEST(memory.bytes() == 0U);
        BOOST_TEST(first.tryGrow(4 * uncounted));
        BOOST_TEST(first.tryGrow(2 * uncounted)); // Smaller than what it has.
        BOOST_TEST(memory.bytes() == 4 * uncounted);
        BOOST_TEST(!first.tryGrow(7 * uncounted)); // More than the others leave.
        first.shrinkTo(2 * uncounted);
        BOOST_TEST(memory.bytes() == 2 * uncounted);
        BOOST_TEST(kept.tryGrow(2 * uncounted));
        response_reservation moved { std::move(first) };
        BOOST_TEST(memory.bytes() == 4 * uncounted);
        moved.shrinkTo(uncounted);
        BOOST_TEST(memory.bytes() == 2 * uncounted);
        BOOST_TEST(moved.tryGrow(2 * uncounted));
    }
    BOOST_TEST(memory.bytes() == 2 * uncounted);
    kept = response_reservation { memory, server };
    BOOST_TEST(memory.bytes() == 0U);
}
