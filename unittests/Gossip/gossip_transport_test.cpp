// Tests gossip between daemons over loopback: joining, registers, rejected datagrams and leaving.
#include "radishflow/Gossip/gossip_transport.h"
#include "radishflow/Membership/zone_register.h"

#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <boost/test/unit_test.hpp>

#include <functional>
#include <thread>

using namespace radishflow;
using namespace std::chrono_literals;

static_assert(register_store<gossip_transport>);

static std::unique_ptr<gossip_transport> startDaemon(const std::string& name, std::vector<std::string> keys)
{
    gossip_transport_options options { .membership = { .id = daemon_id { name }, .incarnation = incarnation_number { 1 }, .address = peer_address { "127.0.0.1:0" }, .http = "127.0.0.1:1", .zone = zone_id { "za" }, .region = region_id { "ra" } },
        .keys = std::move(keys),
        .tickInterval = 10ms,
        .randomSeed = 1 };
    return valueOr([&] { return gossip_transport::start(options); }, [](const failure& error) {
        BOOST_TEST_MESSAGE(describe(error));
        return std::unique_ptr<gossip_transport> {}; });
}

static bool waitUntil(const std::function<bool()>& condition)
{
    const auto limit = std::chrono::steady_clock::now() + 10s;
    while (!condition() && std::chrono::steady_clock::now() < limit)
        std::this_thread::sleep_for(10ms);
    return condition();
}

BOOST_AUTO_TEST_CASE(daemonsJoinReplicateRegistersAndLeave)
{
    const auto first = startDaemon("d1", { "key" });
    const auto second = startDaemon("d2", { "new", "key" });
    const auto third = startDaemon("d3", { "key", "new" });
    BOOST_REQUIRE((first && second && third));
    second->seed({ { .address = third->address() } });
    third->seed({ { .address = second->address() } });
    first->seed({ { .address = third->address(), .isLeaving = true } });
    BOOST_TEST(waitUntil([&] { return third->members().size() == 3; }));
    BOOST_TEST(zone_register(*third).change(zone_id { "za" }, zone_state::Out, 0, 1).has_value());
    BOOST_TEST(waitUntil([&] { return zone_register(*first).stateOf(zone_id { "za" }) == zone_state::Out; }));
    BOOST_TEST(waitUntil([&] { return first->memberOf(daemon_id { "d3" }).value_or(member {}).isLeavingHint; }));
    third->leave();
    BOOST_TEST(waitUntil([&] { return first->memberOf(daemon_id { "d3" }).value_or(member {}).state == member_state::Left; }));
    const gossip_traffic traffic = third->traffic();
    BOOST_TEST(traffic.received[static_cast<std::size_t>(message_kind::Ping)].bytes > 0u);
    BOOST_TEST(traffic.sent[static_cast<std::size_t>(message_kind::Ack)].processorTime.count() > 0);
}

BOOST_AUTO_TEST_CASE(unauthenticatedOrMalformedDatagramsAreRejected)
{
    const auto daemon = startDaemon("d1", { "key" });
    const auto stranger = startDaemon("d2", { "other" });
    const auto open = startDaemon("d3", {});
    BOOST_REQUIRE((daemon && stranger && open));
    stranger->seed({ { .address = daemon->address() } });
    Poco::Net::DatagramSocket socket(Poco::Net::SocketAddress("127.0.0.1", 0));
    const std::string tooLong(1300, 'x');
    const std::string garbage(100, 'x');
    socket.sendTo(tooLong.data(), static_cast<int>(tooLong.size()), Poco::Net::SocketAddress(daemon->address().value()));
    socket.sendTo(garbage.data(), static_cast<int>(garbage.size()), Poco::Net::SocketAddress(open->address().value()));
    BOOST_TEST(waitUntil([&] { return daemon->traffic().rejectedUnauthenticated > 0; }));
    BOOST_TEST(waitUntil([&] { return daemon->traffic().rejectedTooLong > 0; }));
    BOOST_TEST(waitUntil([&] { return open->traffic().rejectedMalformed > 0; }));
    BOOST_TEST(daemon->members().size() == 1u);
}

BOOST_AUTO_TEST_CASE(startWithInvalidAddressFailsWithInvalidInput)
{
    gossip_transport_options options { .membership = { .id = daemon_id { "d1" }, .address = peer_address { "localhost:1" } } };
    const failure_code code = valueOr([&]() -> result<failure_code> {
        auto started = gossip_transport::start(options);
        if (!started)
            return started.error();
        return failure_code::Refused; }, [](const failure& error) { return error.code; });
    BOOST_TEST((code == failure_code::InvalidInput));
}
