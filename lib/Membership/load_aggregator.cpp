// Implements load_aggregator.
#include "radishflow/Membership/load_aggregator.h"

#include <algorithm>

namespace radishflow {

void load_aggregator::setOwn(const std::vector<service_load>& loads, time_point now)
{
    for (shard_state& shard : m_shards)
        shard.members.erase(m_options.id);
    for (std::size_t i = 0; i < std::min(loads.size(), maxServiceLoads); ++i) {
        const service_load& load = loads[i];
        load_sums& own = m_shards[shardOf(load)].members[m_options.id];
        addLoads(own.loads, { load });
        own.measuredAt = now;
    }
}

load_aggregator::members_by_zone load_aggregator::liveByZone(const member_list& list)
{
    members_by_zone live;
    for (const auto& [id, entry] : list.entries()) {
        if (entry.update.status.state() == member_state::Alive)
            live[entry.update.zone].push_back(&entry);
    }
    // Daemons with the same member list compute the same ranking without exchanging messages.
    for (auto& [zone, members] : live) {
        const auto ranked = static_cast<std::ptrdiff_t>(std::min<std::size_t>(shardCount, members.size()));
        std::partial_sort(members.begin(), members.begin() + ranked, members.end(),
            [](const member_entry* left, const member_entry* right) { return left->keyHash > right->keyHash; });
    }
    return live;
}

// Returns the aggregator of a shard. Shards have different aggregators if the zone has at least shardCount members.
static const member_entry* aggregatorOf(std::uint32_t shard, const std::vector<const member_entry*>& ranked)
{
    return ranked[shard % ranked.size()];
}

gossip_message load_aggregator::messageOf(message_kind kind, const load_sums& sums, time_point now)
{
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - sums.measuredAt);
    gossip_message message;
    message.kind = kind;
    message.loads = sums.loads;
    message.ageMs = static_cast<std::uint32_t>(age.count());
    return message;
}

void load_aggregator::sumZone(shard_state& shard, const member_list& list, time_point now) const
{
    load_sums sums { .loads = {}, .measuredAt = now };
    std::erase_if(shard.members, [&](const auto& held) {
        const member_entry* entry = list.find(held.first);
        return !entry || entry->update.status.isTerminal() || now - held.second.measuredAt > m_options.memberLoadLifetime;
    });
    for (const auto& [id, held] : shard.members) {
        addLoads(sums.loads, held.loads);
        sums.measuredAt = std::min(sums.measuredAt, held.measuredAt);
    }
    shard.zones[m_options.zone] = std::move(sums);
}

void load_aggregator::sumFleet(shard_state& shard, time_point now) const
{
    load_sums sums { .loads = {}, .measuredAt = now };
    std::erase_if(shard.zones, [&](const auto& zone) { return now - zone.second.measuredAt > m_options.zoneLoadLifetime; });
    for (const auto& [zone, held] : shard.zones) {
        addLoads(sums.loads, held.loads);
        sums.measuredAt = std::min(sums.measuredAt, held.measuredAt);
    }
    shard.fleet = std::move(sums);
}

std::vector<outgoing_message> load_aggregator::tick(const member_list& list, time_point now)
{
    std::vector<outgoing_message> out;
    const members_by_zone live = liveByZone(list);
    if (!live.contains(m_options.zone))
        return out;
    for (std::uint32_t shard = 0; shard < shardCount; ++shard)
        tickShard(out, shard, live, list, now);
    return out;
}

void load_aggregator::tickShard(std::vector<outgoing_message>& out, std::uint32_t shard, const members_by_zone& live, const member_list& list, time_point now)
{
    shard_state& state = m_shards[shard];
    const member_entry* own = aggregatorOf(shard, live.at(m_options.zone));
    if (own->update.id != m_options.id) {
        if (const auto place = state.members.find(m_options.id); place != state.members.end())
            out.push_back({ .to = own->update.address, .message = messageOf(message_kind::MemberLoad, place->second, now) });
        return;
    }
    sumZone(state, list, now);
    sumFleet(state, now);
    gossip_message zoneMessage = messageOf(message_kind::ZoneLoad, state.zones[m_options.zone], now);
    zoneMessage.zone = m_options.zone;
    for (const auto& [zone, members] : live) {
        if (zone != m_options.zone && !zoneMessage.loads.empty())
            out.push_back({ .to = aggregatorOf(shard, members)->update.address, .message = zoneMessage });
    }
    if (state.fleet.loads.empty())
        return;
    const gossip_message fleetMessage = messageOf(message_kind::FleetLoad, state.fleet, now);
    for (const member_entry* entry : live.at(m_options.zone)) {
        if (entry->update.id != m_options.id)
            out.push_back({ .to = entry->update.address, .message = fleetMessage });
    }
}

void load_aggregator::receive(const gossip_message& message, const member_list& list, time_point now)
{
    const member_entry* sender = list.find(message.sender);
    if (!sender || sender->update.status.isTerminal() || message.loads.empty())
        return;
    // All services of a message belong to the same shard.
    shard_state& state = m_shards[shardOf(message.loads.front())];
    load_sums sums { .loads = {}, .measuredAt = now - std::chrono::milliseconds { message.ageMs } };
    addLoads(sums.loads, message.loads);
    // Reordered datagrams are harmless, because newer loads follow within loadInterval.
    if (message.kind == message_kind::MemberLoad && sender->update.zone == m_options.zone)
        state.members[message.sender] = std::move(sums);
    else if (message.kind == message_kind::ZoneLoad && message.zone == sender->update.zone && message.zone != m_options.zone)
        state.zones[message.zone] = std::move(sums);
    else if (message.kind == message_kind::FleetLoad && sender->update.zone == m_options.zone)
        state.fleet = std::move(sums);
}

std::optional<load_sums> load_aggregator::fleetSums(time_point now) const
{
    load_sums sums { .loads = {}, .measuredAt = now };
    for (const shard_state& shard : m_shards) {
        if (shard.fleet.loads.empty() || now - shard.fleet.measuredAt > m_options.zoneLoadLifetime)
            continue;
        addLoads(sums.loads, shard.fleet.loads);
        sums.measuredAt = std::min(sums.measuredAt, shard.fleet.measuredAt);
    }
    return sums.loads.empty() ? std::nullopt : std::optional { sums };
}

} // namespace radishflow
