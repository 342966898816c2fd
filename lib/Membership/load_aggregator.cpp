// Sums loads by zone and fleet.
#include "radishflow/Membership/load_aggregator.h"

#include "radishflow/Support/hashing.h"

#include <algorithm>

namespace radishflow {

void load_aggregator::setOwn(std::vector<service_load> loads, time_point now)
{
    if (loads.size() > maxServiceLoads)
        loads.resize(maxServiceLoads);
    m_members[m_options.id] = { .loads = std::move(loads), .measuredAt = now };
}

std::map<zone_id, const member_entry*> load_aggregator::aggregators(const member_list& list) const
{
    std::map<zone_id, std::pair<std::uint64_t, const member_entry*>> best;
    for (const auto& [id, entry] : list.entries()) {
        if (entry.update.status.state() != member_state::Alive)
            continue;
        const std::uint64_t weight = stableHash(id.value(), entry.update.zone.value());
        auto& held = best[entry.update.zone];
        if (!held.second || weight > held.first)
            held = { weight, &entry };
    }
    std::map<zone_id, const member_entry*> chosen;
    for (const auto& [zone, held] : best)
        chosen[zone] = held.second;
    return chosen;
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

void load_aggregator::sumZone(const member_list& list, time_point now)
{
    load_sums sums { .loads = {}, .measuredAt = now };
    for (auto place = m_members.begin(); place != m_members.end();) {
        const member_entry* entry = list.find(place->first);
        const bool isStale = now - place->second.measuredAt > m_options.memberLoadLifetime;
        if (!entry || entry->update.status.isTerminal() || (isStale && place->first != m_options.id)) {
            place = m_members.erase(place);
            continue;
        }
        addLoads(sums.loads, place->second.loads);
        sums.measuredAt = std::min(sums.measuredAt, place->second.measuredAt);
        ++place;
    }
    m_zones[m_options.zone] = std::move(sums);
}

void load_aggregator::sumFleet(time_point now)
{
    load_sums sums { .loads = {}, .measuredAt = now };
    std::erase_if(m_zones, [&](const auto& zone) { return now - zone.second.measuredAt > m_options.zoneLoadLifetime; });
    for (const auto& [zone, held] : m_zones) {
        addLoads(sums.loads, held.loads);
        sums.measuredAt = std::min(sums.measuredAt, held.measuredAt);
    }
    m_fleet = std::move(sums);
}

std::vector<outgoing_message> load_aggregator::tick(const member_list& list, time_point now)
{
    std::vector<outgoing_message> out;
    const auto chosen = aggregators(list);
    const auto own = chosen.find(m_options.zone);
    if (own == chosen.end())
        return out;
    if (own->second->update.id != m_options.id) {
        if (const auto place = m_members.find(m_options.id); place != m_members.end())
            out.push_back({ .to = own->second->update.address, .message = messageOf(message_kind::MemberLoad, place->second, now) });
        return out;
    }
    sumZone(list, now);
    sumFleet(now);
    gossip_message zoneMessage = messageOf(message_kind::ZoneLoad, m_zones[m_options.zone], now);
    zoneMessage.zone = m_options.zone;
    for (const auto& [zone, entry] : chosen) {
        if (zone != m_options.zone)
            out.push_back({ .to = entry->update.address, .message = zoneMessage });
    }
    const gossip_message fleetMessage = messageOf(message_kind::FleetLoad, m_fleet, now);
    for (const auto& [id, entry] : list.entries()) {
        if (id != m_options.id && entry.update.zone == m_options.zone && entry.update.status.state() == member_state::Alive)
            out.push_back({ .to = entry.update.address, .message = fleetMessage });
    }
    return out;
}

void load_aggregator::receive(const gossip_message& message, const member_list& list, time_point now)
{
    const member_entry* sender = list.find(message.sender);
    if (!sender || sender->update.status.isTerminal())
        return;
    load_sums sums { .loads = {}, .measuredAt = now - std::chrono::milliseconds { message.ageMs } };
    addLoads(sums.loads, message.loads);
    // A reordered datagram does no harm, the next one follows within loadInterval.
    if (message.kind == message_kind::MemberLoad && sender->update.zone == m_options.zone)
        m_members[message.sender] = std::move(sums);
    else if (message.kind == message_kind::ZoneLoad && message.zone == sender->update.zone && message.zone != m_options.zone)
        m_zones[message.zone] = std::move(sums);
    else if (message.kind == message_kind::FleetLoad && sender->update.zone == m_options.zone)
        m_fleet = std::move(sums);
}

std::optional<load_sums> load_aggregator::fleetSums(time_point now) const
{
    if (m_fleet.measuredAt == time_point {} || now - m_fleet.measuredAt > m_options.zoneLoadLifetime)
        return std::nullopt;
    return m_fleet;
}

} // namespace radishflow
