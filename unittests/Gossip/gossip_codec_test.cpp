// Tests that messages round-trip through the codec, that encoded sizes stay within their bounds, and that malformed
// bytes are rejected.
#include "radishflow/Gossip/gossip_codec.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <random>

using namespace radishflow;

static member_update longestMember()
{
    return { .id = daemon_id { std::string(64, 'd') },
        .status = { .incarnation = incarnation_number { fleet_register::maxVersion }, .terminal = member_status::terminal_state::Left, .refutation = fleet_register::maxVersion, .isSuspect = true },
        .address = peer_address { std::string(64, 'a') },
        .http = std::string(64, 'h'),
        .zone = zone_id { std::string(64, 'z') },
        .region = region_id { std::string(64, 'r') } };
}

static record_update longestRecord()
{
    return { .id = daemon_id { std::string(64, 'd') }, .incarnation = incarnation_number { fleet_register::maxVersion }, .key = std::string(32, 'k'), .version = fleet_register::maxVersion, .bytes = std::string(200, 'b') };
}

static register_update longestRegister()
{
    return { .key = std::string(64, 'k'), .value = { .version = fleet_register::maxVersion, .bytes = std::string(200, 'b'), .stamp = std::int64_t { 1 } << 62 } };
}

static gossip_message fullMessage()
{
    gossip_message message;
    message.kind = message_kind::Sync;
    message.sender = daemon_id { std::string(64, 's') };
    message.incarnation = incarnation_number { fleet_register::maxVersion };
    message.refutation = fleet_register::maxVersion;
    message.stateHash = ~std::uint64_t { 0 };
    message.sequence = ~std::uint64_t { 0 };
    message.target = daemon_id { std::string(64, 't') };
    message.targetAddress = peer_address { "10.0.0.1:1" };
    return message;
}

static std::optional<gossip_message> decoded(std::string_view bytes)
{
    return valueOr([&]() -> result<std::optional<gossip_message>> {
        BOOST_LEAF_AUTO(message, decodeGossip(bytes));
        return std::optional { std::move(message) }; }, [](const failure&) { return std::optional<gossip_message> {}; });
}

BOOST_AUTO_TEST_CASE(messageRoundTrips)
{
    gossip_message message = fullMessage();
    message.members = { longestMember() };
    message.registers = { longestRegister() };
    message.entries = { { .key = 1, .version = ~std::uint32_t { 0 } } };
    message.wanted = { 7 };
    message.bucketMask = ~std::uint32_t { 0 };
    message.loads = { { .service = ~std::uint32_t { 0 }, .running = 3, .servers = 4 } };
    message.ageMs = 9;
    const auto back = decoded(encodeGossip(message));
    BOOST_REQUIRE(back.has_value());
    BOOST_TEST((back->kind == message.kind && back->sender == message.sender && back->incarnation == message.incarnation));
    BOOST_TEST((back->stateHash == message.stateHash && back->sequence == message.sequence && back->target == message.target));
    BOOST_TEST((back->members.at(0).status == message.members[0].status && back->members[0].http == message.members[0].http));
    BOOST_TEST((back->registers.at(0).value == message.registers[0].value));
    BOOST_TEST((back->entries.at(0).version == message.entries[0].version && back->bucketMask == message.bucketMask));
    BOOST_TEST((back->wanted == message.wanted && back->loads == message.loads && back->ageMs == 9));
}

BOOST_AUTO_TEST_CASE(encodedSizesStayWithinBounds)
{
    gossip_message message = fullMessage();
    const std::size_t header = encodeGossip(message).size();
    BOOST_TEST(header + 16 <= messageHeaderBound);
    message.members = { longestMember() };
    BOOST_TEST(encodeGossip(message).size() - header <= encodedBound(longestMember()) + 4);
    message.members = {};
    message.records = { longestRecord() };
    BOOST_TEST(encodeGossip(message).size() - header <= encodedBound(longestRecord()) + 4);
    message.records = {};
    message.registers = { longestRegister() };
    BOOST_TEST(encodeGossip(message).size() - header <= encodedBound(longestRegister()) + 4);
    gossip_message loads = fullMessage();
    loads.target = {};
    loads.targetAddress = {};
    loads.loads.assign(maxServiceLoads, { .service = ~std::uint32_t { 0 }, .running = 2147483647, .servers = 2147483647 });
    BOOST_TEST(encodeGossip(loads).size() + 16 <= gossip_message::maxBytes);
}

BOOST_AUTO_TEST_CASE(valuesOutOfBoundsAreRejected)
{
    gossip_message message = fullMessage();
    message.sender = {};
    BOOST_TEST(!decoded(encodeGossip(message)).has_value());
    message = fullMessage();
    message.kind = static_cast<message_kind>(messageKindCount);
    BOOST_TEST(!decoded(encodeGossip(message)).has_value());
    message = fullMessage();
    message.registers = { longestRegister() };
    message.registers[0].value.version = ~std::uint64_t { 0 };
    BOOST_TEST(!decoded(encodeGossip(message)).has_value());
    message = fullMessage();
    message.records = { longestRecord() };
    message.records[0].bytes.push_back('x');
    BOOST_TEST(!decoded(encodeGossip(message)).has_value());
    BOOST_TEST(!decoded("").has_value());
    BOOST_TEST(!decoded(std::string(gossip_message::maxBytes + 1, 'x')).has_value());
}

BOOST_DATA_TEST_CASE(corruptedBytesDecodeToNothingOrValidMessage, boost::unit_test::data::make({ 1, 2, 3 }), seed)
{
    std::mt19937_64 random(static_cast<std::uint64_t>(seed));
    gossip_message message = fullMessage();
    message.members = { longestMember() };
    message.loads = { { .service = 1, .running = 3, .servers = 4 } };
    const std::string good = encodeGossip(message);
    for (int turn = 0; turn < 20000; ++turn) {
        std::string bytes = turn % 2 == 0 ? good : std::string(random() % 300, '\0');
        if (turn % 2 != 0) {
            for (char& byte : bytes)
                byte = static_cast<char>(random());
        }
        for (int flip = 0; flip < 3 && !bytes.empty(); ++flip)
            bytes[random() % bytes.size()] = static_cast<char>(random());
        if (random() % 4 == 0)
            bytes.resize(bytes.size() / 2);
        const auto back = decoded(bytes);
        BOOST_TEST_REQUIRE((!back || (!back->sender.empty() && back->loads.size() <= maxServiceLoads)));
    }
}
