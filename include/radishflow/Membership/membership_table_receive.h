// Defines how membership_table takes and answers datagrams.
#pragma once

#include "radishflow/Membership/membership_table.h"
#include "radishflow/Membership/state_sync.h"

#include <algorithm>

namespace radishflow {

template <monotonic_clock Clock, std::uniform_random_bit_generator Random>
std::vector<outgoing_message> membership_table<Clock, Random>::receive(const peer_address& from, const gossip_message& message)
{
    out_list out;
    const time_point now = m_clock.now();
    noticePause(now);
    const bool isForAnother = message.kind == message_kind::Ping && !message.target.empty() && message.target != m_options.id;
    if (message.sender == m_options.id || message.sender.empty() || isForAnother) {
        ++m_counters.strayMessages;
        return out;
    }
    m_heardAt = now;
    noteSender(out, from, message, now);
    std::vector<std::uint32_t> staleKeys;
    mergeNews(message, now, staleKeys);
    dispatch(out, from, message, std::move(staleKeys), now);
    synchronise(out, from, message, now);
    return out;
}

template <monotonic_clock Clock, std::uniform_random_bit_generator Random>
void membership_table<Clock, Random>::noteSender(out_list& out, const peer_address& from, const gossip_message& message, time_point now)
{
    member_entry* entry = m_list.find(message.sender);
    if (!entry)
        return;
    m_regions.hear(entry->update.region, now);
    const member_status seen { .incarnation = message.incarnation, .refutation = message.refutation };
    if (seen.incarnation == entry->update.status.incarnation && seen > entry->update.status) {
        member_update update = entry->update;
        update.status = seen;
        applyMember(update, now);
    }
    const member_state state = entry->update.status.state();
    const bool isDoubted = state == member_state::Suspect || state == member_state::Dead;
    const bool isOutdated = message.incarnation < entry->update.status.incarnation;
    const bool isNewer = message.incarnation > entry->update.status.incarnation;
    if ((!isDoubted && !isOutdated) || isNewer || now - entry->noticedAt < m_options.reprobeInterval)
        return;
    entry->noticedAt = now;
    gossip_message notice;
    notice.kind = message_kind::Notice;
    notice.members.push_back(entry->update);
    send(out, from, std::move(notice), false);
}

template <monotonic_clock Clock, std::uniform_random_bit_generator Random>
void membership_table<Clock, Random>::mergeNews(const gossip_message& message, time_point now, std::vector<std::uint32_t>& staleKeys)
{
    for (const member_update& update : message.members) {
        if (update.id == m_options.id) {
            answerOwnNews(update.status, now);
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
        m_news.addRecord(update.id, update.key);
        m_newsAt = now;
    }
    for (const register_update& update : message.registers) {
        if (!m_list.merge(update))
            continue;
        m_news.addRegister(update.key);
        m_newsAt = now;
    }
}

template <monotonic_clock Clock, std::uniform_random_bit_generator Random>
void membership_table<Clock, Random>::applyMember(const member_update& update, time_point now)
{
    if (m_list.merge(update, now))
        announce(update.id, now);
}

template <monotonic_clock Clock, std::uniform_random_bit_generator Random>
void membership_table<Clock, Random>::answerOwnNews(const member_status& said, time_point now)
{
    const member_status& own = self().update.status;
    if (hasLeft() || said <= own || m_options.testSwitches.noRefutation)
        return;
    if (said.incarnation > own.incarnation || said.isTerminal()) {
        takeIncarnation(std::max(said.incarnation, own.incarnation).next(), now);
        return;
    }
    member_update update = self().update;
    update.status.refutation = std::max(said.refutation, own.refutation) + 1;
    m_list.merge(update, now);
    ++m_counters.refutations;
    announce(m_options.id, now);
}

template <monotonic_clock Clock, std::uniform_random_bit_generator Random>
void membership_table<Clock, Random>::takeIncarnation(incarnation_number number, time_point now)
{
    member_update update = self().update;
    update.status = { .incarnation = number };
    m_list.merge(update, now);
    ++m_counters.newIncarnations;
    announce(m_options.id, now);
    // The others dropped the records of the incarnation that they hold for dead.
    for (auto& [key, own] : m_ownRecords) {
        own.isPending = true;
        own.spreadAt = {};
    }
}

template <monotonic_clock Clock, std::uniform_random_bit_generator Random>
void membership_table<Clock, Random>::dispatch(out_list& out, const peer_address& from, const gossip_message& message,
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
        sendBounded(out, from, { answerDigest(m_list, message) });
        return;
    case message_kind::DigestEntries:
        sendBounded(out, from, answerEntries(m_list, message, m_options.syncDatagrams));
        return;
    case message_kind::Sync:
        staleKeys.insert(staleKeys.end(), message.wanted.begin(), message.wanted.end());
        sendBounded(out, from, syncMessages(m_list, staleKeys, m_options.syncDatagrams));
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
void membership_table<Clock, Random>::acceptAck(out_list& out, const gossip_message& message, time_point now)
{
    const auto answered = m_probes.acknowledge(message.sequence);
    if (!answered)
        return;
    if (answered->reason == probe::purpose::Relay) {
        gossip_message ack;
        ack.kind = message_kind::Ack;
        ack.sequence = answered->requesterSequence;
        ack.target = answered->target;
        send(out, answered->requester, std::move(ack), true);
        return;
    }
    const daemon_id& who = message.target.empty() ? message.sender : message.target;
    if (!answered->target.empty() && answered->target != who)
        return;
    if (member_entry* entry = m_list.find(who))
        entry->answeredAt = now;
}

template <monotonic_clock Clock, std::uniform_random_bit_generator Random>
void membership_table<Clock, Random>::relayPing(out_list& out, const peer_address& from, const gossip_message& message, time_point now)
{
    // Only known members are pinged, so that nobody is made to send to strangers.
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
void membership_table<Clock, Random>::synchronise(out_list& out, const peer_address& from, const gossip_message& message, time_point now)
{
    if (message.stateHash == 0 || message.stateHash == m_list.digest().total() || m_options.testSwitches.noAntiEntropy)
        return;
    // While news spread, states differ anyway; they are compared in between, or in the end regardless.
    const duration sinceSync = now - m_syncedAt;
    const bool isQuiet = now - m_newsAt >= m_options.syncQuietTime || m_list.liveCount() <= 2;
    if (sinceSync < m_options.syncInterval || (!isQuiet && sinceSync < 5 * m_options.syncInterval))
        return;
    m_syncedAt = now;
    ++m_counters.synchronisations;
    gossip_message digest;
    digest.kind = message_kind::Digest;
    digest.buckets = m_list.digest().buckets();
    sendBounded(out, from, { std::move(digest) });
}

template <monotonic_clock Clock, std::uniform_random_bit_generator Random>
void membership_table<Clock, Random>::sendBounded(out_list& out, const peer_address& to, std::vector<gossip_message> messages)
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
