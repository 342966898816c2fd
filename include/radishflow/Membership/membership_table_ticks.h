// Defines the construction, periodic work, publishing and queries of membership_table.
#pragma once

#include "radishflow/Membership/membership_table.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace radishflow {

template <monotonic_clock Clock, std::uniform_random_bit_generator Random>
membership_table<Clock, Random>::membership_table(membership_options options, const Clock& clock, Random& random)
    : m_options(std::move(options))
    , m_clock(clock)
    , m_list(m_options)
    , m_probes(m_options)
    , m_schedule(m_options, random)
    , m_loads(m_options)
    , m_budget(m_options.gossipBytesPerSecond, m_options.gossipBurstBytes)
    , m_furtherProbes(m_options.furtherProbesPerSecond, 2 * m_options.furtherProbesPerSecond)
    , m_pingRequests(m_options.pingRequestsPerSecond, m_options.pingRequestsPerSecond)
{
    assert(!m_options.id.empty() && "a member needs an id");
    const time_point now = m_clock.now();
    m_startedAt = now;
    m_lastTickAt = now;
    m_lastReceivedAt = now;
    m_list.merge(member_update { .id = m_options.id,
                     .status = { .incarnation = m_options.incarnation },
                     .address = m_options.address,
                     .http = m_options.http,
                     .zone = m_options.zone,
                     .region = m_options.region },
        now);
    m_regions.addRegion(m_options.region, now);
    m_updates.addMember(m_options.id);
    // Random initial phases keep daemons that start at the same time from sending in lockstep.
    const auto phase = [&](duration interval) { return now + interval * static_cast<std::int64_t>(m_schedule.below(1000)) / 1000; };
    m_nextProbe = phase(m_options.probeInterval);
    m_nextCrossRegionProbe = phase(m_options.crossRegionInterval);
    m_nextGossip = phase(m_options.gossipInterval);
    m_nextLoad = phase(m_options.loadInterval);
}

template <monotonic_clock Clock, std::uniform_random_bit_generator Random>
void membership_table<Clock, Random>::seed(std::vector<seed_peer> seeds)
{
    m_seeds = std::move(seeds);
    m_leaving.clear();
    for (const seed_peer& peer : m_seeds) {
        if (peer.isLeaving)
            m_leaving.insert(peer.address);
    }
}

template <monotonic_clock Clock, std::uniform_random_bit_generator Random>
std::vector<outgoing_message> membership_table<Clock, Random>::tick()
{
    const time_point now = m_clock.now();
    detectPause(now);
    m_budget.refill(now);
    m_furtherProbes.refill(now);
    m_pingRequests.refill(now);
    message_list out;
    for (const probe_step& step : m_probes.advance(now))
        executeStep(out, step, now);
    checkSuspicions(now);
    if (!hasLeft())
        reprobeUnresponsiveMembers(out, now);
    enqueueDeferredUpdates(now);
    publishPendingRecords(now);
    if (!hasLeft()) {
        probeLiveMembers(out, now);
        probeFurtherMembers(out, now);
        probeDeadMembersAndSeeds(out, now);
    }
    gossip(out, now);
    if (!hasLeft() && isDue(m_nextLoad, now, m_options.loadInterval)) {
        for (outgoing_message& load : m_loads.tick(m_list, now))
            send(out, load.to, std::move(load.message), false);
    }
    if (isDue(m_nextExpiry, now, std::chrono::seconds { 1 }))
        m_list.removeExpired(now);
    return out;
}

template <monotonic_clock Clock, std::uniform_random_bit_generator Random>
bool membership_table<Clock, Random>::isDue(time_point& next, time_point now, duration interval)
{
    if (now < next)
        return false;
    // Intervals that were missed are skipped, not caught up.
    next = std::max(next + interval, now + interval / 2);
    return true;
}

template <monotonic_clock Clock, std::uniform_random_bit_generator Random>
void membership_table<Clock, Random>::detectPause(time_point now)
{
    const duration gap = now - m_lastTickAt;
    m_lastTickAt = now;
    if (gap < m_options.pauseThreshold || m_options.testSwitches.noPauseDetection)
        return;
    // Responses that arrived during the pause are still unread or were dropped, so a missing response is no
    // evidence of failure: open probes are discarded, and timeouts of regions and suspects start over.
    ++m_counters.pauses;
    m_probes.clear();
    m_regions.restart(now);
    m_lastReceivedAt = now;
    for (const auto& [id, listed] : m_list.entries()) {
        member_entry& entry = *m_list.find(id);
        if (entry.update.status.state() == member_state::Suspect)
            entry.suspectedAt += gap;
        if (entry.unansweredSince)
            *entry.unansweredSince += gap;
    }
}

template <monotonic_clock Clock, std::uniform_random_bit_generator Random>
std::size_t membership_table<Clock, Random>::retransmitLimit() const
{
    const double rounds = m_options.retransmitFactor * std::log2(static_cast<double>(m_list.liveCount()) + 1);
    return std::max<std::size_t>(3, static_cast<std::size_t>(std::ceil(rounds)));
}

template <monotonic_clock Clock, std::uniform_random_bit_generator Random>
void membership_table<Clock, Random>::gossip(message_list& out, time_point now)
{
    if (!isDue(m_nextGossip, now, m_options.gossipInterval) || m_updates.empty())
        return;
    // After the loss of most members, updates sent to the lost ones would hardly spread.
    const auto isOwn = [&](const member_entry& entry) { return isReachable(entry) && isOwnRegion(entry); };
    const auto isForeign = [&](const member_entry& entry) { return !entry.update.status.isTerminal() && !isOwnRegion(entry); };
    std::size_t foreign = 0;
    for (std::size_t i = 0; i < m_options.gossipFanout; ++i)
        foreign += m_schedule.drawBernoulli(m_options.crossRegionShare) ? 1 : 0;
    auto targets = m_schedule.sample(m_list, foreign, isForeign);
    const auto own = m_schedule.sample(m_list, m_options.gossipFanout - targets.size(), isOwn);
    targets.insert(targets.end(), own.begin(), own.end());
    for (const member_entry* target : targets) {
        const bool ignoresBudget = m_updates.hasRegisters() && !m_options.testSwitches.noRegisterPriority;
        if (m_updates.empty() || (m_budget.isSpent() && !ignoresBudget))
            return;
        gossip_message message;
        message.kind = message_kind::Gossip;
        send(out, target->update.address, std::move(message), true);
    }
}

template <monotonic_clock Clock, std::uniform_random_bit_generator Random>
void membership_table<Clock, Random>::publishPendingRecords(time_point now)
{
    const duration interval = m_options.recordIntervalPerMember * static_cast<std::int64_t>(m_list.liveCount());
    for (auto& [key, own] : m_ownRecords) {
        if (!own.isPending || hasLeft() || (own.publishedAt != time_point {} && now - own.publishedAt < interval))
            continue;
        own.isPending = false;
        own.publishedAt = now;
        ++own.record.version;
        m_list.merge(record_update { .id = m_options.id, .incarnation = incarnation(), .key = key, .version = own.record.version, .bytes = own.record.bytes });
        m_updates.addRecord(m_options.id, key);
        m_lastUpdateAt = now;
    }
}

template <monotonic_clock Clock, std::uniform_random_bit_generator Random>
void membership_table<Clock, Random>::enqueueDeferredUpdates(time_point now)
{
    for (auto place = m_deferredUpdates.begin(); place != m_deferredUpdates.end();) {
        member_entry* entry = m_list.find(*place);
        if (entry && now < entry->updatesDeferredUntil) {
            ++place;
            continue;
        }
        if (entry) {
            entry->updatesDeferredUntil = now + m_options.flapHold;
            m_updates.addMember(*place);
        }
        place = m_deferredUpdates.erase(place);
    }
}

template <monotonic_clock Clock, std::uniform_random_bit_generator Random>
bool membership_table<Clock, Random>::publish(const std::string& key, const std::string& bytes)
{
    if (key.empty() || key.size() > member_record::maxKeyBytes || bytes.size() > member_record::maxBytes)
        return false;
    if (!m_ownRecords.contains(key) && m_ownRecords.size() >= member_record::maxPerMember)
        return false;
    own_record& own = m_ownRecords[key];
    const bool isNew = own.record.version == 0 && !own.isPending;
    if (!isNew && own.record.bytes == bytes)
        return true;
    own.record.bytes = bytes;
    own.isPending = true;
    return true;
}

template <monotonic_clock Clock, std::uniform_random_bit_generator Random>
bool membership_table<Clock, Random>::setRegister(const std::string& key, fleet_register value)
{
    if (key.empty() || key.size() > fleet_register::maxKeyBytes || value.bytes.size() > fleet_register::maxBytes)
        return false;
    if (!m_list.merge(register_update { .key = key, .value = std::move(value) }))
        return false;
    m_updates.addRegister(key);
    m_lastUpdateAt = m_clock.now();
    return true;
}

template <monotonic_clock Clock, std::uniform_random_bit_generator Random>
fleet_register membership_table<Clock, Random>::registerOf(const std::string& key) const
{
    const auto place = m_list.registers().find(key);
    return place == m_list.registers().end() ? fleet_register {} : place->second;
}

template <monotonic_clock Clock, std::uniform_random_bit_generator Random>
std::vector<outgoing_message> membership_table<Clock, Random>::leave()
{
    const time_point now = m_clock.now();
    message_list out;
    member_update update = self().update;
    update.status.terminal = member_status::terminal_state::Left;
    if (!m_list.merge(update, now))
        return out;
    m_updates.addMember(m_options.id);
    const auto isLive = [](const member_entry& entry) { return !entry.update.status.isTerminal(); };
    for (const member_entry* target : m_schedule.sample(m_list, 2 * m_options.gossipFanout, isLive)) {
        gossip_message message;
        message.kind = message_kind::Gossip;
        message.members.push_back(update);
        send(out, target->update.address, std::move(message), false);
    }
    return out;
}

template <monotonic_clock Clock, std::uniform_random_bit_generator Random>
bool membership_table<Clock, Random>::isIsolated() const
{
    return m_list.liveCount() > 1 && m_clock.now() - m_lastReceivedAt > 2 * m_options.probeTimeout;
}

template <monotonic_clock Clock, std::uniform_random_bit_generator Random>
bool membership_table<Clock, Random>::isResponsive(const member_entry& entry, time_point now) const
{
    // After a pause of this process, answers may wait to be read.
    const bool isPaused = now - m_lastTickAt >= m_options.pauseThreshold;
    // A datagram of the member counts as well, since this daemon may be unable to send.
    return isPaused || !entry.unansweredSince || now - std::max(*entry.unansweredSince, entry.heardAt) < m_options.unresponsiveTime;
}

template <monotonic_clock Clock, std::uniform_random_bit_generator Random>
member membership_table<Clock, Random>::viewOf(const member_entry& entry, time_point now) const
{
    const member_update& update = entry.update;
    const bool isRetentionExpired = update.status.isTerminal() && now - entry.changedAt >= m_options.recordRetention;
    const bool hasRecentReceipt = m_regions.isReachable(update.region, now, m_options.regionTimeout);
    return { .id = update.id,
        .incarnation = update.status.incarnation,
        .state = update.status.state(),
        .peer = update.address,
        .http = update.http,
        .zone = update.zone,
        .region = update.region,
        .records = isRetentionExpired ? decltype(entry.records) {} : entry.records,
        .isRegionReachable = update.id == m_options.id || hasRecentReceipt,
        .isLeavingHint = m_leaving.contains(update.address),
        .isResponsive = isResponsive(entry, now),
        .isFlapping = m_list.flapsOf(entry, now) > m_options.flapThreshold };
}

template <monotonic_clock Clock, std::uniform_random_bit_generator Random>
std::vector<member> membership_table<Clock, Random>::members() const
{
    const time_point now = m_clock.now();
    std::vector<member> view;
    view.reserve(m_list.entries().size());
    for (const auto& [id, entry] : m_list.entries())
        view.push_back(viewOf(entry, now));
    return view;
}

template <monotonic_clock Clock, std::uniform_random_bit_generator Random>
std::optional<member> membership_table<Clock, Random>::memberOf(const daemon_id& id) const
{
    const member_entry* entry = m_list.find(id);
    return entry ? std::optional { viewOf(*entry, m_clock.now()) } : std::nullopt;
}

} // namespace radishflow
