// Implements update_queue.
#include "radishflow/Membership/update_queue.h"

#include <algorithm>
#include <vector>

namespace radishflow {

// Number of updates that may fail to fit into a message before filling stops.
static constexpr int maxOversizedUpdates = 3;

void update_queue::addMember(const daemon_id& id)
{
    m_sendCounts[{ .kind = update_kind::Member, .member = id, .key = {} }] = 0;
}

void update_queue::addRecord(const daemon_id& id, const std::string& key)
{
    m_sendCounts[{ .kind = update_kind::Record, .member = id, .key = key }] = 0;
}

void update_queue::addRegister(const std::string& key)
{
    m_sendCounts[{ .kind = update_kind::Register, .member = {}, .key = key }] = 0;
}

std::size_t update_queue::append(gossip_message& message, const member_list& list, const update_key& name, std::size_t maxBytes, bool& isObsolete)
{
    const auto add = [&](auto& updates, auto update) -> std::size_t {
        const std::size_t bytes = encodedBound(update);
        if (bytes > maxBytes)
            return 0;
        updates.push_back(std::move(update));
        return bytes;
    };
    if (name.kind == update_kind::Register) {
        const auto place = list.registers().find(name.key);
        isObsolete = place == list.registers().end();
        return isObsolete ? 0 : add(message.registers, register_update { .key = name.key, .value = place->second });
    }
    const member_entry* entry = list.find(name.member);
    isObsolete = entry == nullptr;
    if (isObsolete)
        return 0;
    if (name.kind == update_kind::Member)
        return add(message.members, entry->update);
    const auto record = entry->records.find(name.key);
    isObsolete = record == entry->records.end();
    if (isObsolete)
        return 0;
    return add(message.records,
        record_update { .id = name.member,
            .incarnation = entry->update.status.incarnation,
            .key = name.key,
            .version = record->second.version,
            .bytes = record->second.bytes });
}

std::size_t update_queue::fill(gossip_message& message, const member_list& list, std::size_t maxBytes, std::size_t limit, bool onlyRegisters)
{
    if (m_sendCounts.empty())
        return 0;
    using queue_iterator = std::map<update_key, std::size_t>::iterator;
    std::vector<queue_iterator> order;
    order.reserve(m_sendCounts.size());
    for (auto place = m_sendCounts.begin(); place != m_sendCounts.end(); ++place) {
        if (onlyRegisters && place->first.kind != update_kind::Register)
            break;
        order.push_back(place);
    }
    const auto hasPriority = [](queue_iterator left, queue_iterator right) {
        const bool isLeftRegister = left->first.kind == update_kind::Register;
        const bool isRightRegister = right->first.kind == update_kind::Register;
        return isLeftRegister != isRightRegister ? isLeftRegister : left->second < right->second;
    };
    std::stable_sort(order.begin(), order.end(), hasPriority);
    std::size_t filled = 0;
    int oversized = 0;
    for (const queue_iterator place : order) {
        // The message is nearly full; trying all remaining updates isn't worth the time.
        if (oversized >= maxOversizedUpdates)
            break;
        bool isObsolete = false;
        const std::size_t bytes = append(message, list, place->first, maxBytes - filled, isObsolete);
        if (isObsolete) {
            m_sendCounts.erase(place);
            continue;
        }
        if (bytes == 0) {
            ++oversized;
            continue;
        }
        filled += bytes;
        if (++place->second >= limit)
            m_sendCounts.erase(place);
    }
    return filled;
}

} // namespace radishflow
