// Defines how membership_table processes received datagrams and responds to them.
#pragma once

#include "radishflow/Membership/membership_table.h"
#include "radishflow/Membership/state_sync.h"

#include <algorithm>

namespace radishflow {

template <monotonic_clock Clock, std::uniform_random_bit_generator Random>
std::vector<outgoing_message> membership_table<Clock, Random>::receive(const peer_address& from, const gossip_message& message)
{
    message_list out;
    const time_point now = m_clock.now();
    detectPause(now);
    const bool isForAnother = message.kind == message_kind::Ping && !message.target.empty() && message.target != m_options.id;
    if (message.sender == m_options.id || message.sender.empty() || isForAnother) {
        ++m_counters.strayMessages;
        return out;
    }
    m_lastReceivedAt = now;
    updateSender(out, from, message, now);
    std::vector<std::uint32_t> staleKeys;
    mergeUpdates(message, now, staleKeys);
    dispatch(out, from, message, std::move(staleKeys), now);
    synchronise(out, from, message, now);
    return out;
}

template <monotonic_clock Clock, std::uniform_random_bit_generator Random>
void membership_table<Clock, Random>::updateSender(message_list& out, const peer_address& from, const gossip_message& message, time_point now)
{
    member_entry* entry = m_list.find(message.sender);
    if (!entry)
        return;
    entry->heardAt = now;
    m_regions.recordReceipt(entry->update.region, now);
    const member_status seen { .incarnation = message.incarnation, .refutation = message.refutation };
    if (seen.incarnation == entry->update.status.incarnation && seen > entry->update.status) {
        member_update update = entry->update;
        update.status = seen;
        applyMember(update, now);
    }
    const member_state state = entry->update.status.state();
    const bool isSuspectOrDead = state == member_state::Suspect || state == member_state::Dead;
    const bool isOutdated = message.incarnation < entry->update.status.incarnation;
    const bool isNewer = message.incarnation > entry->update.status.incarnation;
    if ((!isSuspectOrDead && !isOutdated) || isNewer || now - entry->notifiedAt < m_options.reprobeInterval)
        return;
    entry->notifiedAt = now;
    gossip_message notice;
    notice.kind = message_kind::Notice;
    notice.members.push_back(entry->update);
    send(out, from, std::move(notice), false);
}

template <monotonic_clock Clock, std::uniform_random_bit_generator Random>
void membership_table<Clock, Random>::mergeUpdates(const gossip_message& message, time_point now, std::vector<std::uint32_t>& staleKeys)
{
    for (const member_update& update : message.members) {
        if (update.id == m_options.id) {
            refuteOwnStatus(update.status, now);
            continue;
        }
        const member_entry* entry = m_list.find(update.id);
        if (entry && update.status < entry->update.status)
            staleKeys.push_back(entry->keyHash);
        applyMember(update, now);
    }
    for (const record_update& update : message.records) {
        if (update.id == m_options.id || !m_list.merge(update))
            continue;
        m_updates.addRecord(update.id, update.key);
        m_lastUpdateAt = now;
    }
    for (const register_update& update : message.registers) {
        if (!m_list.merge(update))
            continue;
        m_updates.addRegister(update.key);
        m_lastUpdateAt = now;
    }
}

template <monotonic_clock Clock, std::uniform_random_bit_generator Random>
void membership_table<Clock, Random>::applyMember(const member_update& update, time_point now)
{
    if (!m_list.merge(update, now))
        return;
    if (update.status.state() == member_state::Suspect)
        m_furtherProbesDue += m_options.furtherProbes;
    enqueueUpdate(update.id, now);
}

template <monotonic_clock Clock, std::uniform_random_bit_generator Random>
void membership_table<Clock, Random>::refuteOwnStatus(const member_status& received, time_point now)
{
    const member_status& own = self().update.status;
    if (hasLeft() || received <= own || m_options.testSwitches.noRefutation)
        return;
    if (received.incarnation > own.incarnation || received.isTerminal()) {
        adoptIncarnation(std::max(received.incarnation, own.incarnation).next(), now);
        return;
    }
    member_update update = self().update;
    update.status.refutation = std::max(received.refutation, own.refutation) + 1;
    m_list.merge(update, now);
    ++m_counters.refutations;
    enqueueUpdate(m_options.id, now);
}

template <monotonic_clock Clock, std::uniform_random_bit_generator Random>
void membership_table<Clock, Random>::adoptIncarnation(incarnation_number number, time_point now)
{
    member_update update = self().update;
    update.status = { .incarnation = number };
    m_list.merge(update, now);
    ++m_counters.newIncarnations;
    enqueueUpdate(m_options.id, now);
    // When another daemon learns of this daemon's new incarnation, it discards the records of the previous one, so this
    // daemon publishes all its records again.
    for (auto& [key, own] : m_ownRecords) {
        own.isPending = true;
        own.publishedAt = {};
    }
}

template <monotonic_clock Clock, std::uniform_random_bit_generator Random>
void membership_table<Clock, Random>::dispatch(message_list& out, const peer_address& from, const gossip_message& message,
    std::vector<std::uint32_t> staleKeys, time_point now)
{
    switch (message.kind) {
    case message_kind::Ping: {
        if (hasLeft())
            return;
        gossip_message ack;
        ack.kind = message_kind::Ack;
        ack.sequence = message.sequence;
        if (message.target.empty())
            ack.members.push_back(self().update);
        send(out, from, std::move(ack), true);
        return;
    }
    case message_kind::Ack:
        acceptAck(out, message, now);
        return;
    case message_kind::PingRequest:
        relayPing(out, from, message, now);
        return;
    case message_kind::Digest:
        sendBounded(out, from, { makeDigestResponse(m_list, message) });
        return;
    case message_kind::DigestEntries:
        sendBounded(out, from, makeSyncResponse(m_list, message, m_options.syncDatagrams));
        return;
    case message_kind::Sync:
        staleKeys.insert(staleKeys.end(), message.wanted.begin(), message.wanted.end());
        sendBounded(out, from, makeSyncMessages(m_list, staleKeys, m_options.syncDatagrams));
        return;
    case message_kind::MemberLoad:
    case message_kind::ZoneLoad:
    case message_kind::FleetLoad:
        m_loads.receive(message, m_list, now);
        return;
    case message_kind::Gossip:
    case message_kind::Notice:
        return;
    }
}

template <monotonic_clock Clock, std::uniform_random_bit_generator Random>
void membership_table<Clock, Random>::recordAnswer(member_entry& entry, time_point now)
{
    entry.answeredAt = now;
    entry.unansweredSince.reset();
    entry.hasFailedProbe = false;
}

template <monotonic_clock Clock, std::uniform_random_bit_generator Random>
void membership_table<Clock, Random>::acceptAck(message_list& out, const gossip_message& message, time_point now)
{
    const auto acknowledged = m_probes.acknowledge(message.sequence);
    if (!acknowledged) {
        // The answer is late, but shows that the member answers.
        if (member_entry* entry = message.target.empty() ? m_list.find(message.sender) : nullptr)
            recordAnswer(*entry, now);
        return;
    }
    if (acknowledged->reason == probe::purpose::Relay) {
        gossip_message ack;
        ack.kind = message_kind::Ack;
        ack.sequence = acknowledged->requesterSequence;
        ack.target = acknowledged->target;
        send(out, acknowledged->requester, std::move(ack), true);
        return;
    }
    const daemon_id& responder = message.target.empty() ? message.sender : message.target;
    if (!acknowledged->target.empty() && acknowledged->target != responder)
        return;
    if (member_entry* entry = m_list.find(responder))
        recordAnswer(*entry, now);
}

template <monotonic_clock Clock, std::uniform_random_bit_generator Random>
void membership_table<Clock, Random>::relayPing(message_list& out, const peer_address& from, const gossip_message& message, time_point now)
{
    // Only known members are pinged; otherwise a datagram could make this daemon send to arbitrary addresses.
    const member_entry* entry = m_list.find(message.target);
    if (!entry || entry->update.status.isTerminal())
        return;
    const auto started = m_probes.start({ .target = message.target,
                                            .address = entry->update.address,
                                            .reason = probe::purpose::Relay,
                                            .requester = from,
                                            .requesterSequence = message.sequence },
        now);
    if (started)
        sendPing(out, *started);
}

template <monotonic_clock Clock, std::uniform_random_bit_generator Random>
void membership_table<Clock, Random>::synchronise(message_list& out, const peer_address& from, const gossip_message& message, time_point now)
{
    if (message.stateHash == 0 || message.stateHash == m_list.digest().total() || m_options.testSwitches.noAntiEntropy)
        return;
    // States differ while updates propagate, so digests are compared once no update arrived for syncQuietTime,
    // and after five sync intervals in any case. A daemon that has just started lacks most of the state, and a comparison
    // transfers each entry once, where gossip sends it as often as the retransmit limit.
    const duration sinceSync = now - m_lastSyncAt;
    const bool isQuiet = now - m_lastUpdateAt >= m_options.syncQuietTime || m_list.liveCount() <= 2;
    const bool isDueInSteadyState = sinceSync >= m_options.syncInterval && (isQuiet || sinceSync >= 5 * m_options.syncInterval);
    if (isStarting(now) ? sinceSync < m_options.startSyncInterval : !isDueInSteadyState)
        return;
    m_lastSyncAt = now;
    ++m_counters.synchronisations;
    gossip_message digest;
    digest.kind = message_kind::Digest;
    digest.buckets = m_list.digest().buckets();
    sendBounded(out, from, { std::move(digest) });
}

template <monotonic_clock Clock, std::uniform_random_bit_generator Random>
void membership_table<Clock, Random>::sendBounded(message_list& out, const peer_address& to, std::vector<gossip_message> messages)
{
    for (gossip_message& message : messages) {
        if (m_budget.isSpent())
            return;
        std::size_t bytes = messageHeaderBound / 3 + message.buckets.size() * 10 + message.entries.size() * 10 + message.wanted.size() * 5;
        for (const member_update& update : message.members)
            bytes += encodedBound(update);
        for (const record_update& update : message.records)
            bytes += encodedBound(update);
        m_budget.spend(bytes);
        send(out, to, std::move(message), false);
    }
}

} // namespace radishflow
