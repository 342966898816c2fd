// Implements the gossip codec. Decoding checks all limits before a message reaches the membership table.
#include "radishflow/Gossip/gossip_codec.h"

#include "radishflow/Gossip/compact_message.h"
#include "radishflow/Membership/member_record.h"

#include <algorithm>
#include <cstring>
#include <gossip_types.h>

namespace radishflow {

namespace wire = gossip_wire;

static constexpr std::size_t maxNameBytes = 64;

static wire::MemberUpdate toWire(const member_update& update)
{
    wire::MemberUpdate out;
    out.id = update.id.value();
    out.incarnation = static_cast<std::int64_t>(update.status.incarnation.value());
    out.terminal = static_cast<std::int32_t>(update.status.terminal);
    out.refutation = static_cast<std::int64_t>(update.status.refutation);
    out.suspect = update.status.isSuspect;
    out.address = update.address.value();
    out.http = update.http;
    out.zone = update.zone.value();
    out.region = update.region.value();
    return out;
}

static wire::RecordUpdate toWire(const record_update& update)
{
    wire::RecordUpdate out;
    out.id = update.id.value();
    out.incarnation = static_cast<std::int64_t>(update.incarnation.value());
    out.key = update.key;
    out.version = static_cast<std::int64_t>(update.version);
    out.bytes = update.bytes;
    return out;
}

static wire::RegisterUpdate toWire(const register_update& update)
{
    wire::RegisterUpdate out;
    out.key = update.key;
    out.version = static_cast<std::int64_t>(update.value.version);
    out.stamp = update.value.stamp;
    out.bytes = update.value.bytes;
    return out;
}

static wire::ServiceLoad toWire(const service_load& load)
{
    wire::ServiceLoad out;
    out.serviceKey = static_cast<std::int32_t>(load.service);
    out.running = static_cast<std::int32_t>(load.running);
    out.servers = static_cast<std::int32_t>(load.servers);
    return out;
}

template <typename Wire, typename Part>
static std::vector<Wire> listToWire(const std::vector<Part>& parts)
{
    std::vector<Wire> out;
    out.reserve(parts.size());
    for (const Part& part : parts)
        out.push_back(toWire(part));
    return out;
}

static wire::Message toWire(const gossip_message& message)
{
    wire::Message out;
    out.kind = static_cast<std::int32_t>(message.kind);
    out.sender = message.sender.value();
    out.incarnation = static_cast<std::int64_t>(message.incarnation.value());
    out.refutation = static_cast<std::int64_t>(message.refutation);
    if (message.stateHash != 0)
        out.__set_stateHash(static_cast<std::int64_t>(message.stateHash));
    if (message.sequence != 0)
        out.__set_sequence(static_cast<std::int64_t>(message.sequence));
    if (!message.target.empty())
        out.__set_target(message.target.value());
    if (!message.targetAddress.empty())
        out.__set_targetAddress(message.targetAddress.value());
    if (!message.members.empty())
        out.__set_members(listToWire<wire::MemberUpdate>(message.members));
    if (!message.records.empty())
        out.__set_records(listToWire<wire::RecordUpdate>(message.records));
    if (!message.registers.empty())
        out.__set_registers(listToWire<wire::RegisterUpdate>(message.registers));
    if (!message.buckets.empty())
        out.__set_buckets({ message.buckets.begin(), message.buckets.end() });
    if (message.bucketMask != 0)
        out.__set_bucketMask(static_cast<std::int32_t>(message.bucketMask));
    if (!message.wanted.empty())
        out.__set_wanted({ message.wanted.begin(), message.wanted.end() });
    if (!message.loads.empty())
        out.__set_loads(listToWire<wire::ServiceLoad>(message.loads));
    if (message.ageMs != 0)
        out.__set_ageMs(static_cast<std::int32_t>(message.ageMs));
    if (!message.zone.empty())
        out.__set_zone(message.zone.value());
    if (message.entries.empty())
        return out;
    std::vector<std::int32_t> entries;
    for (const entry_digest& entry : message.entries) {
        entries.push_back(static_cast<std::int32_t>(entry.key));
        entries.push_back(static_cast<std::int32_t>(entry.version));
    }
    out.__set_entries(entries);
    return out;
}

std::string encodeGossip(const gossip_message& message)
{
    return encodeCompact(toWire(message), gossip_message::maxBytes);
}

static bool haveValidLength(std::initializer_list<const std::string*> names)
{
    return std::all_of(names.begin(), names.end(), [](const std::string* name) { return name->size() <= maxNameBytes; });
}

// Counters that only increase must stay far below the maximum of their type, so that they can always be incremented.
static bool isValidCounter(std::int64_t number)
{
    return number >= 0 && number <= static_cast<std::int64_t>(fleet_register::maxVersion);
}

static bool fromWire(const wire::MemberUpdate& in, member_update& update)
{
    if (in.id.empty() || !haveValidLength({ &in.id, &in.address, &in.http, &in.zone, &in.region }))
        return false;
    if (!isValidCounter(in.incarnation) || !isValidCounter(in.refutation) || in.terminal < 0 || in.terminal > 2)
        return false;
    update = { .id = daemon_id { in.id },
        .status = { .incarnation = incarnation_number { static_cast<std::uint64_t>(in.incarnation) },
            .terminal = static_cast<member_status::terminal_state>(in.terminal),
            .refutation = static_cast<std::uint64_t>(in.refutation),
            .isSuspect = in.suspect },
        .address = peer_address { in.address },
        .http = in.http,
        .zone = zone_id { in.zone },
        .region = region_id { in.region } };
    return true;
}

static bool fromWire(const wire::RecordUpdate& in, record_update& update)
{
    if (in.id.empty() || !haveValidLength({ &in.id }) || in.key.empty() || in.key.size() > member_record::maxKeyBytes)
        return false;
    if (in.bytes.size() > member_record::maxBytes || !isValidCounter(in.incarnation) || !isValidCounter(in.version))
        return false;
    update = { .id = daemon_id { in.id },
        .incarnation = incarnation_number { static_cast<std::uint64_t>(in.incarnation) },
        .key = in.key,
        .version = static_cast<std::uint64_t>(in.version),
        .bytes = in.bytes };
    return true;
}

static bool fromWire(const wire::RegisterUpdate& in, register_update& update)
{
    if (in.key.empty() || in.key.size() > fleet_register::maxKeyBytes || in.bytes.size() > fleet_register::maxBytes)
        return false;
    if (!isValidCounter(in.version))
        return false;
    update = { .key = in.key, .value = { .version = static_cast<std::uint64_t>(in.version), .bytes = in.bytes, .stamp = in.stamp } };
    return true;
}

static bool fromWire(const wire::ServiceLoad& in, service_load& load)
{
    if (in.running < 0 || in.servers < 0)
        return false;
    load = { .service = static_cast<std::uint32_t>(in.serviceKey),
        .running = static_cast<std::uint32_t>(in.running),
        .servers = static_cast<std::uint32_t>(in.servers) };
    return true;
}

template <typename Wire, typename Part>
static bool listFromWire(const std::vector<Wire>& in, std::vector<Part>& parts)
{
    parts.resize(in.size());
    for (std::size_t i = 0; i < in.size(); ++i) {
        if (!fromWire(in[i], parts[i]))
            return false;
    }
    return true;
}

static bool fromWire(const wire::Message& in, gossip_message& message)
{
    if (in.kind <= 0 || in.kind >= static_cast<std::int32_t>(messageKindCount) || in.sender.empty())
        return false;
    if (!haveValidLength({ &in.sender, &in.target, &in.targetAddress, &in.zone }) || !isValidCounter(in.incarnation) || !isValidCounter(in.refutation))
        return false;
    if (in.entries.size() % 2 != 0 || in.ageMs < 0 || in.loads.size() > maxServiceLoads)
        return false;
    message.kind = static_cast<message_kind>(in.kind);
    message.sender = daemon_id { in.sender };
    message.incarnation = incarnation_number { static_cast<std::uint64_t>(in.incarnation) };
    message.refutation = static_cast<std::uint64_t>(in.refutation);
    message.stateHash = static_cast<std::uint64_t>(in.stateHash);
    message.sequence = static_cast<std::uint64_t>(in.sequence);
    message.target = daemon_id { in.target };
    message.targetAddress = peer_address { in.targetAddress };
    message.buckets.assign(in.buckets.begin(), in.buckets.end());
    message.bucketMask = static_cast<std::uint32_t>(in.bucketMask);
    message.wanted.assign(in.wanted.begin(), in.wanted.end());
    message.ageMs = static_cast<std::uint32_t>(in.ageMs);
    message.zone = zone_id { in.zone };
    for (std::size_t i = 0; i < in.entries.size(); i += 2)
        message.entries.push_back({ .key = static_cast<std::uint32_t>(in.entries[i]), .version = static_cast<std::uint32_t>(in.entries[i + 1]) });
    return listFromWire(in.members, message.members) && listFromWire(in.records, message.records)
        && listFromWire(in.registers, message.registers) && listFromWire(in.loads, message.loads);
}

result<gossip_message> decodeGossip(std::string_view bytes)
{
    const auto refuse = [](const char* why) { return fail({ .code = failure_code::Broken, .step = "decode gossip", .peer = {}, .detail = why }); };
    if (bytes.empty() || bytes.size() > gossip_message::maxBytes)
        return refuse("size out of bounds");
    wire::Message in;
    if (!decodeCompact(bytes, gossip_message::maxBytes, in))
        return refuse("not a valid Thrift message");
    gossip_message message;
    if (!fromWire(in, message))
        return refuse("value out of bounds");
    return message;
}

} // namespace radishflow
