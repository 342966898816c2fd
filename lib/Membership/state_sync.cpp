// Implements anti-entropy synchronisation: compares digests and collects the entries to send.
#include "radishflow/Membership/state_sync.h"

#include <algorithm>
#include <map>
#include <set>

namespace radishflow {

// Upper bounds, in bytes, of one digest and of one requested key in Thrift's compact protocol.
static constexpr std::size_t digestBound = 10;
static constexpr std::size_t keyBound = 5;
static constexpr std::size_t maxBodyBytes = gossip_message::maxBytes - messageHeaderBound;
static constexpr std::size_t maxRequestedKeys = 100;

gossip_message makeDigestResponse(const member_list& list, const gossip_message& digest)
{
    gossip_message answer;
    answer.kind = message_kind::DigestEntries;
    const std::uint32_t differing = list.digest().differingBuckets(digest.buckets);
    for (std::size_t bucket = 0; bucket < state_digest::bucketCount; ++bucket) {
        const std::uint32_t bit = std::uint32_t { 1 } << bucket;
        if ((differing & bit) == 0)
            continue;
        const std::vector<entry_digest> digests = list.digestsOf(bit);
        const bool fits = (answer.entries.size() + digests.size()) * digestBound <= maxBodyBytes;
        if (!fits && answer.bucketMask != 0)
            break;
        if (!fits)
            continue;
        answer.bucketMask |= bit;
        answer.entries.insert(answer.entries.end(), digests.begin(), digests.end());
    }
    return answer;
}

namespace {
    // Distributes entries over a limited number of messages, filling one after the other.
    class sync_writer {
    public:
        explicit sync_writer(std::size_t maxMessages)
            : m_maxMessages(maxMessages)
        {
        }

        template <typename Update>
        void add(std::vector<Update> gossip_message::*field, Update update)
        {
            const std::size_t bytes = encodedBound(update);
            if (m_messages.empty() || m_bytesLeft < bytes)
                open();
            if (m_isFull)
                return;
            m_bytesLeft -= std::min(bytes, m_bytesLeft);
            (m_messages.back().*field).push_back(std::move(update));
        }

        void requestEntry(std::uint32_t key)
        {
            if (m_messages.empty())
                open();
            std::vector<std::uint32_t>& wanted = m_messages.front().wanted;
            if (m_isFull || wanted.size() >= maxRequestedKeys)
                return;
            wanted.push_back(key);
        }

        std::vector<gossip_message> take() { return std::move(m_messages); }

    private:
        void open()
        {
            m_isFull = m_messages.size() >= m_maxMessages;
            if (m_isFull)
                return;
            gossip_message& message = m_messages.emplace_back();
            message.kind = message_kind::Sync;
            // The first message reserves space for the requested keys.
            m_bytesLeft = maxBodyBytes - (m_messages.size() == 1 ? maxRequestedKeys * keyBound : 0);
        }

        std::size_t m_maxMessages;
        std::size_t m_bytesLeft = 0;
        bool m_isFull = false;
        std::vector<gossip_message> m_messages;
    };
} // namespace

static void addEntries(sync_writer& writer, const member_list& list, std::uint32_t key)
{
    const auto addMember = [&](const member_entry& entry) {
        writer.add(&gossip_message::members, entry.update);
        if (entry.update.status.isTerminal())
            return;
        for (const auto& [name, record] : entry.records) {
            writer.add(&gossip_message::records,
                record_update { .id = entry.update.id,
                    .incarnation = entry.update.status.incarnation,
                    .key = name,
                    .version = record.version,
                    .bytes = record.bytes });
        }
    };
    const auto addRegister = [&](const std::string& name, const fleet_register& value) {
        writer.add(&gossip_message::registers, register_update { .key = name, .value = value });
    };
    list.visit(key, addMember, addRegister);
}

std::vector<gossip_message> makeSyncResponse(const member_list& list, const gossip_message& entries, std::size_t maxMessages)
{
    std::map<std::uint32_t, std::uint32_t> remoteVersions;
    for (const entry_digest& digest : entries.entries)
        remoteVersions[digest.key] = digest.version;
    sync_writer writer(maxMessages);
    std::set<std::uint32_t> toSend;
    for (const entry_digest& own : list.digestsOf(entries.bucketMask)) {
        const auto held = remoteVersions.find(own.key);
        const bool isSame = held != remoteVersions.end() && held->second == own.version;
        if (isSame)
            remoteVersions.erase(held);
        if (!isSame)
            toSend.insert(own.key);
    }
    for (const auto& [key, version] : remoteVersions) {
        writer.requestEntry(key);
        toSend.insert(key); // Dead members have no digest; the sender may not have received the death.
    }
    for (const std::uint32_t key : toSend)
        addEntries(writer, list, key);
    return writer.take();
}

std::vector<gossip_message> makeSyncMessages(const member_list& list, const std::vector<std::uint32_t>& keys, std::size_t maxMessages)
{
    sync_writer writer(maxMessages);
    for (const std::uint32_t key : keys)
        addEntries(writer, list, key);
    return writer.take();
}

} // namespace radishflow
