// Defines the failure detector of membership_table: direct and indirect probes, suspicions and deaths.
#pragma once

#include "radishflow/Membership/membership_table.h"

#include <algorithm>
#include <cmath>

namespace radishflow {

template <monotonic_clock Clock, std::uniform_random_bit_generator Random>
bool membership_table<Clock, Random>::isOwnRegion(const member_entry& entry) const
{
    return m_options.testSwitches.noRegions || entry.update.region == m_options.region;
}

template <monotonic_clock Clock, std::uniform_random_bit_generator Random>
void membership_table<Clock, Random>::send(message_list& out, const peer_address& to, gossip_message message, bool includesUpdates)
{
    const member_status& status = self().update.status;
    message.sender = m_options.id;
    message.incarnation = status.incarnation;
    message.refutation = status.refutation;
    // The receiver of the hash starts a synchronisation if its own state differs.
    const bool isProbe = message.kind == message_kind::Ping || message.kind == message_kind::Ack;
    const bool isEarlyGossip = message.kind == message_kind::Gossip && isStarting(m_clock.now());
    if (isProbe || isEarlyGossip)
        message.stateHash = m_list.digest().total();
    std::size_t room = gossip_message::maxBytes - messageHeaderBound;
    for (const member_update& update : message.members)
        room -= std::min(room, encodedBound(update));
    if (includesUpdates) {
        // Registers are few and urgent (for example, a zone taken out of service), so they are sent even when
        // the byte budget is spent.
        const bool onlyRegisters = m_budget.isSpent() && !m_options.testSwitches.noRegisterPriority;
        const std::size_t bytes = m_budget.isSpent() && !onlyRegisters ? 0 : m_updates.fill(message, m_list, room, retransmitLimit(), onlyRegisters);
        m_budget.spend(bytes);
    }
    if (message.kind == message_kind::Gossip)
        m_budget.spend(messageHeaderBound / 3);
    out.push_back({ .to = to, .message = std::move(message) });
}

template <monotonic_clock Clock, std::uniform_random_bit_generator Random>
void membership_table<Clock, Random>::sendPing(message_list& out, const probe& subject)
{
    gossip_message ping;
    ping.kind = message_kind::Ping;
    ping.sequence = subject.sequence;
    ping.target = subject.target;
    const member_entry* entry = subject.target.empty() ? nullptr : m_list.find(subject.target);
    // A suspect needs the update to refute the suspicion, and a member declared dead to raise its incarnation.
    if (entry && entry->update.status.state() != member_state::Alive)
        ping.members.push_back(entry->update);
    // The receiver may not know this daemon yet.
    if (subject.reason == probe::purpose::Rejoin)
        ping.members.push_back(self().update);
    send(out, subject.address, std::move(ping), true);
}

template <monotonic_clock Clock, std::uniform_random_bit_generator Random>
void membership_table<Clock, Random>::startProbe(message_list& out, const member_entry& entry, probe::purpose reason, time_point now)
{
    const auto started = m_probes.start({ .target = entry.update.id, .address = entry.update.address, .reason = reason }, now);
    if (!started)
        return;
    ++m_counters.probes;
    sendPing(out, *started);
}

template <monotonic_clock Clock, std::uniform_random_bit_generator Random>
void membership_table<Clock, Random>::probeLiveMembers(message_list& out, time_point now)
{
    if (isDue(m_nextProbe, now, m_options.probeInterval)) {
        const member_entry* entry = m_schedule.next(m_list);
        if (entry && !m_probes.isOpen(entry->update.id))
            startProbe(out, *entry, probe::purpose::OwnRegion, now);
    }
    if (m_options.testSwitches.noRegions || !isDue(m_nextCrossRegionProbe, now, m_options.crossRegionInterval))
        return;
    std::set<region_id> others;
    for (const auto& [id, entry] : m_list.entries()) {
        if (!entry.update.status.isTerminal() && !isOwnRegion(entry))
            others.insert(entry.update.region);
    }
    if (others.empty())
        return;
    const region_id region = *std::next(others.begin(), static_cast<std::ptrdiff_t>(m_crossRegionTurn++ % others.size()));
    const auto isInRegion = [&](const member_entry& entry) { return !entry.update.status.isTerminal() && entry.update.region == region; };
    for (const member_entry* entry : m_schedule.sample(m_list, 1, isInRegion))
        startProbe(out, *entry, probe::purpose::OtherRegion, now);
}

// At the ordinary rate, the probes of a few daemons would take the longer to reach all members, the more of them are lost at the
// same moment. Each ping without an answer and each suspicion of another daemon entitles this one to further probes. They
// multiply if many members are lost, and cease soon after a single loss.
template <monotonic_clock Clock, std::uniform_random_bit_generator Random>
void membership_table<Clock, Random>::probeFurtherMembers(message_list& out, time_point now)
{
    const auto isUnknown = [&](const member_entry& entry) {
        return isReachable(entry) && now - entry.answeredAt >= m_options.probeTimeout && !m_probes.isOpen(entry.update.id);
    };
    while (m_furtherProbesDue > 0 && !m_furtherProbes.isSpent()) {
        const member_entry* entry = m_schedule.nextInRound(m_list, isUnknown);
        if (!entry) {
            m_furtherProbesDue = 0;
            return;
        }
        --m_furtherProbesDue;
        m_furtherProbes.spend(1);
        startProbe(out, *entry, probe::purpose::OwnRegion, now);
    }
}

template <monotonic_clock Clock, std::uniform_random_bit_generator Random>
void membership_table<Clock, Random>::probeDeadMembersAndSeeds(message_list& out, time_point now)
{
    const bool isAlone = m_list.liveCount() <= 1;
    const duration interval = isAlone ? std::chrono::seconds { 1 } : m_options.rejoinInterval;
    if (!isDue(m_nextRejoinProbe, now, interval) || (m_options.testSwitches.noRejoin && !isAlone))
        return;
    std::vector<probe> candidates;
    std::set<peer_address> known { m_options.address };
    for (const auto& [id, entry] : m_list.entries()) {
        known.insert(entry.update.address);
        if (entry.update.status.state() == member_state::Dead && id != m_options.id)
            candidates.push_back({ .target = id, .address = entry.update.address, .reason = probe::purpose::Rejoin });
    }
    for (const seed_peer& peer : m_seeds) {
        if (!known.contains(peer.address))
            candidates.push_back({ .target = {}, .address = peer.address, .reason = probe::purpose::Rejoin });
    }
    std::size_t count = std::min<std::size_t>(candidates.size(), isAlone ? 3 : 1);
    for (std::size_t i = 0; i < count; ++i) {
        std::swap(candidates[i], candidates[i + m_schedule.below(candidates.size() - i)]);
        if (const auto started = m_probes.start(candidates[i], now))
            sendPing(out, *started);
    }
}

template <monotonic_clock Clock, std::uniform_random_bit_generator Random>
void membership_table<Clock, Random>::executeStep(message_list& out, const probe_step& step, time_point now)
{
    switch (step.due) {
    case probe_step::action::Repeat:
        if (step.subject.reason != probe::purpose::Rejoin)
            sendPing(out, step.subject);
        if (step.subject.reason == probe::purpose::OwnRegion)
            m_furtherProbesDue += m_options.furtherProbes;
        return;
    case probe_step::action::ProbeIndirectly:
        if (step.subject.reason != probe::purpose::OwnRegion)
            return;
        sendPing(out, step.subject);
        sendPingRequests(out, step.subject, m_options.indirectProbes);
        return;
    case probe_step::action::Fail:
        if (step.subject.reason == probe::purpose::OwnRegion) {
            recordFailure(step.subject);
            suspectUnlessAnswered(step.subject, now);
        }
        return;
    }
}

template <monotonic_clock Clock, std::uniform_random_bit_generator Random>
void membership_table<Clock, Random>::sendPingRequests(message_list& out, const probe& subject, std::size_t count)
{
    if (m_options.testSwitches.noIndirectProbes)
        return;
    const auto isHelper = [&](const member_entry& entry) {
        return entry.update.id != subject.target && isReachable(entry) && isOwnRegion(entry);
    };
    for (const member_entry* helper : m_schedule.sample(m_list, count, isHelper)) {
        if (m_pingRequests.isSpent())
            return;
        m_pingRequests.spend(1);
        gossip_message request;
        request.kind = message_kind::PingRequest;
        request.sequence = subject.sequence;
        request.target = subject.target;
        request.targetAddress = subject.address;
        send(out, helper->update.address, std::move(request), true);
    }
}

template <monotonic_clock Clock, std::uniform_random_bit_generator Random>
void membership_table<Clock, Random>::recordFailure(const probe& subject)
{
    member_entry* entry = m_list.find(subject.target);
    if (!entry || entry->answeredAt >= subject.startedAt)
        return;
    entry->hasFailedProbe = true;
    if (!entry->unansweredSince)
        entry->unansweredSince = subject.startedAt;
}

template <monotonic_clock Clock, std::uniform_random_bit_generator Random>
void membership_table<Clock, Random>::suspectUnlessAnswered(const probe& subject, time_point now)
{
    member_entry* entry = m_list.find(subject.target);
    if (!entry || entry->update.status.isTerminal() || hasLeft())
        return;
    // If no datagram arrived since the probe started, this daemon is probably partitioned itself. With only one
    // other member, that member's silence doesn't show which side failed, so the check doesn't apply.
    if (m_lastReceivedAt < subject.startedAt && m_list.liveCount() > 2)
        return;
    // The member has answered a later probe.
    if (entry->answeredAt >= subject.startedAt)
        return;
    if (m_options.testSwitches.noSuspicion) {
        declareDead(subject.target, now);
        return;
    }
    if (entry->update.status.state() == member_state::Alive) {
        member_update update = entry->update;
        update.status.isSuspect = true;
        m_list.merge(update, now);
        ++m_counters.suspicions;
        enqueueUpdate(subject.target, now);
    }
    if (!entry->isOwnSuspicion) {
        entry->isOwnSuspicion = true;
        entry->suspectedAt = now;
    }
}

template <monotonic_clock Clock, std::uniform_random_bit_generator Random>
duration membership_table<Clock, Random>::suspicionTimeout(const member_entry& entry) const
{
    // A refutation takes longer to propagate in a larger region.
    const double scale = std::max(1.0, std::log10(static_cast<double>(m_list.liveCount(entry.update.region))));
    const auto own = std::chrono::duration_cast<duration>(m_options.suspicionTimeout * scale);
    // Every member that is declared dead takes a new incarnation when a partition heals.
    return entry.isOwnSuspicion && !entry.isPartitionLikely ? own : own * m_options.receivedSuspicionFactor;
}

template <monotonic_clock Clock, std::uniform_random_bit_generator Random>
void membership_table<Clock, Random>::checkSuspicions(time_point now)
{
    std::vector<daemon_id> dead;
    // Most members of a region are rarely lost at once; a partition may separate this daemon and a few others from them.
    const bool areMostSuspects = 2 * m_list.suspects().size() > m_list.liveCount(m_options.region);
    for (const daemon_id& id : m_list.suspects()) {
        member_entry& entry = *m_list.find(id);
        if (!isOwnRegion(entry) || hasLeft())
            continue;
        // The suspect has answered a probe but not yet refuted the suspicion; its timeout starts over.
        entry.suspectedAt = std::max(entry.suspectedAt, entry.answeredAt);
        entry.isPartitionLikely = entry.isPartitionLikely || areMostSuspects;
        const bool isPartitioned = m_lastReceivedAt < entry.suspectedAt && m_list.liveCount() > 2;
        if (!isPartitioned && now - entry.suspectedAt >= suspicionTimeout(entry))
            dead.push_back(id);
    }
    for (const daemon_id& id : dead)
        declareDead(id, now);
}

// Members that did not answer are probed more often than others, so that they are soon known to respond again. If they are many,
// each is probed less often.
template <monotonic_clock Clock, std::uniform_random_bit_generator Random>
void membership_table<Clock, Random>::reprobeUnresponsiveMembers(message_list& out, time_point now)
{
    std::vector<daemon_id> unresponsive;
    for (const auto& [id, entry] : m_list.entries()) {
        if ((entry.isOwnSuspicion || entry.hasFailedProbe) && !entry.update.status.isTerminal() && isOwnRegion(entry))
            unresponsive.push_back(id);
    }
    const duration interval = std::max(m_options.reprobeInterval, m_options.minReprobeGap * static_cast<std::int64_t>(unresponsive.size()));
    for (const daemon_id& id : unresponsive) {
        member_entry& entry = *m_list.find(id);
        if (now - entry.reprobedAt < interval)
            continue;
        entry.reprobedAt = now;
        reprobe(out, entry, now);
    }
}

// Before a member is declared dead, twice as many members as for an ordinary probe are asked to ping it, because
// a partition may separate several of them from the suspect.
template <monotonic_clock Clock, std::uniform_random_bit_generator Random>
void membership_table<Clock, Random>::reprobe(message_list& out, const member_entry& entry, time_point now)
{
    const auto started = m_probes.start({ .target = entry.update.id,
                                            .address = entry.update.address,
                                            .reason = probe::purpose::OwnRegion,
                                            .stage = probe::indirectStage },
        now);
    if (!started)
        return;
    ++m_counters.probes;
    sendPing(out, *started);
    sendPingRequests(out, *started, 2 * m_options.indirectProbes);
}

template <monotonic_clock Clock, std::uniform_random_bit_generator Random>
void membership_table<Clock, Random>::declareDead(const daemon_id& id, time_point now)
{
    member_update update = m_list.find(id)->update;
    update.status.terminal = member_status::terminal_state::Dead;
    if (!m_list.merge(update, now))
        return;
    ++m_counters.deaths;
    enqueueUpdate(id, now);
}

template <monotonic_clock Clock, std::uniform_random_bit_generator Random>
void membership_table<Clock, Random>::enqueueUpdate(const daemon_id& id, time_point now)
{
    m_lastUpdateAt = now;
    member_entry& entry = *m_list.find(id);
    m_regions.addRegion(entry.update.region, now);
    const bool isFlapping = id != m_options.id && m_list.flapsOf(entry, now) > m_options.flapThreshold;
    if (!isFlapping || m_options.testSwitches.noDamping) {
        m_updates.addMember(id);
        return;
    }
    // A suspicion of a flapping member isn't disseminated: the refutation is deferred as well and would reach the
    // other daemons only after their suspicion timeout.
    if (entry.update.status.state() == member_state::Suspect) {
        ++m_counters.deferredUpdates;
        return;
    }
    if (now >= entry.updatesDeferredUntil) {
        entry.updatesDeferredUntil = now + m_options.flapHold;
        m_updates.addMember(id);
        return;
    }
    ++m_counters.deferredUpdates;
    m_deferredUpdates.insert(id);
}

} // namespace radishflow
