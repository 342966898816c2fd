// Implements member_list.
#include "radishflow/Membership/member_list.h"

#include "radishflow/Support/hashing.h"

#include <cmath>

namespace radishflow {

std::uint32_t member_list::memberHash(const daemon_id& id)
{
    return static_cast<std::uint32_t>(stableHash("member", id.value()));
}

std::uint32_t member_list::registerHash(const std::string& key)
{
    return static_cast<std::uint32_t>(stableHash("register", key));
}

static std::uint64_t hashOf(const fleet_register& value)
{
    return stableHash(value.bytes, stableHash(std::to_string(value.version), std::to_string(value.stamp)));
}

member_entry* member_list::find(const daemon_id& id)
{
    const auto place = m_entries.find(id);
    return place == m_entries.end() ? nullptr : &place->second;
}

const member_entry* member_list::find(const daemon_id& id) const
{
    const auto place = m_entries.find(id);
    return place == m_entries.end() ? nullptr : &place->second;
}

bool member_list::merge(const member_update& update, time_point now)
{
    const auto place = m_entries.find(update.id);
    if (place == m_entries.end()) {
        // Adding unknown dead members would bring back members that were removed after deadRetention.
        if (update.status.isTerminal() || m_entries.size() >= m_options.maxMembers)
            return false;
        member_entry& entry = m_entries[update.id];
        entry.update = update;
        entry.changedAt = now;
        restartEvidence(entry, now);
        entry.keyHash = memberHash(update.id);
        refreshDigest(entry);
        return true;
    }
    member_entry& entry = place->second;
    if (update.status <= entry.update.status)
        return false;
    const bool isRestart = update.status.incarnation != entry.update.status.incarnation;
    const bool changesState = isRestart || update.status.state() != entry.update.status.state();
    if (isRestart)
        entry.records.clear();
    entry.update = update;
    if (changesState) {
        entry.changedAt = now;
        restartEvidence(entry, now);
        countFlap(entry, now);
    }
    refreshDigest(entry);
    return true;
}

// The evidence for or against a member starts over when its state changes, or when it becomes known.
void member_list::restartEvidence(member_entry& entry, time_point now) const
{
    entry.isOwnSuspicion = false;
    entry.isPartitionLikely = false;
    entry.suspectedAt = now;
    if (entry.update.status.state() != member_state::Suspect) {
        entry.unansweredSince.reset();
        entry.hasFailedProbe = false;
    } else if (!entry.unansweredSince) {
        // The probe behind the suspicion started at least this long ago.
        entry.unansweredSince = now - m_options.probeTimeout;
    }
}

bool member_list::merge(const record_update& update)
{
    member_entry* entry = find(update.id);
    if (!entry || entry->update.status.incarnation != update.incarnation || entry->update.status.isTerminal())
        return false;
    if (!entry->records.contains(update.key) && entry->records.size() >= member_record::maxPerMember)
        return false;
    member_record& record = entry->records[update.key];
    if (update.version <= record.version)
        return false;
    record = { .version = update.version, .bytes = update.bytes };
    refreshDigest(*entry);
    return true;
}

bool member_list::merge(const register_update& update)
{
    const auto place = m_registers.find(update.key);
    if (place == m_registers.end() && m_registers.size() >= fleet_register::maxRegisters)
        return false;
    if (update.value.version == 0 || update.value.version > fleet_register::maxVersion)
        return false;
    fleet_register& value = m_registers[update.key];
    if (!m_options.testSwitches.lastRegisterWriteWins && update.value <= value)
        return false;
    if (update.value == value)
        return false;
    m_digest.replace(registerHash(update.key), value.version == 0 ? 0 : hashOf(value), hashOf(update.value));
    value = update.value;
    return true;
}

void member_list::refreshDigest(member_entry& entry)
{
    const member_status& status = entry.update.status;
    std::uint64_t hash = 0;
    // Suspicions last only seconds and are propagated by gossip; including them would cause needless
    // synchronisation.
    if (!status.isTerminal()) {
        hash = stableHash(entry.update.id.value(), std::to_string(status.incarnation.value()) + '/' + std::to_string(status.refutation));
        for (const auto& [key, record] : entry.records)
            hash = stableHash(key, hash ^ record.version);
    }
    m_digest.replace(entry.keyHash, entry.versionHash, hash);
    entry.versionHash = hash;
    if (status.state() == member_state::Suspect)
        m_suspects.insert(entry.update.id);
    else
        m_suspects.erase(entry.update.id);
    recount();
}

void member_list::recount()
{
    m_liveCount = 0;
    m_liveByRegion.clear();
    for (const auto& [id, entry] : m_entries) {
        if (entry.update.status.isTerminal())
            continue;
        ++m_liveCount;
        ++m_liveByRegion[entry.update.region];
    }
}

std::size_t member_list::liveCount(const region_id& region) const
{
    const auto place = m_liveByRegion.find(region);
    return place == m_liveByRegion.end() ? 0 : place->second;
}

double member_list::flapsOf(const member_entry& entry, time_point now) const
{
    const std::chrono::duration<double> elapsed = now - entry.flapsAt;
    const std::chrono::duration<double> halfLife = m_options.flapHalfLife;
    return entry.flaps * std::exp2(-elapsed / halfLife);
}

void member_list::countFlap(member_entry& entry, time_point now) const
{
    entry.flaps = flapsOf(entry, now) + 1;
    entry.flapsAt = now;
}

void member_list::removeExpired(time_point now)
{
    for (auto place = m_entries.begin(); place != m_entries.end();) {
        member_entry& entry = place->second;
        const bool hasEnded = entry.update.status.isTerminal();
        if (hasEnded && now - entry.changedAt >= m_options.recordRetention)
            entry.records.clear();
        if (hasEnded && now - entry.changedAt >= m_options.deadRetention) {
            place = m_entries.erase(place);
            continue;
        }
        ++place;
    }
}

std::vector<entry_digest> member_list::digestsOf(std::uint32_t bucketMask) const
{
    const auto isSelected = [&](std::uint32_t keyHash) { return (bucketMask >> state_digest::bucketOf(keyHash) & 1) != 0; };
    std::vector<entry_digest> digests;
    for (const auto& [id, entry] : m_entries) {
        if (entry.versionHash != 0 && isSelected(entry.keyHash))
            digests.push_back({ .key = entry.keyHash, .version = static_cast<std::uint32_t>(entry.versionHash) });
    }
    for (const auto& [key, value] : m_registers) {
        const std::uint32_t keyHash = registerHash(key);
        if (isSelected(keyHash))
            digests.push_back({ .key = keyHash, .version = static_cast<std::uint32_t>(hashOf(value)) });
    }
    return digests;
}

} // namespace radishflow
