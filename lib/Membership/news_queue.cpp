// Chooses the news that go into a message.
#include "radishflow/Membership/news_queue.h"

#include <algorithm>
#include <vector>

namespace radishflow {

static constexpr int maxMisfits = 3;

void news_queue::addMember(const daemon_id& id)
{
    m_sends[{ .kind = news_kind::Member, .member = id, .key = {} }] = 0;
}

void news_queue::addRecord(const daemon_id& id, const std::string& key)
{
    m_sends[{ .kind = news_kind::Record, .member = id, .key = key }] = 0;
}

void news_queue::addRegister(const std::string& key)
{
    m_sends[{ .kind = news_kind::Register, .member = {}, .key = key }] = 0;
}

std::size_t news_queue::append(gossip_message& message, const member_list& list, const news_name& name, std::size_t maxBytes, bool& isGone)
{
    const auto add = [&](auto& updates, auto update) -> std::size_t {
        const std::size_t bytes = encodedBound(update);
        if (bytes > maxBytes)
            return 0;
        updates.push_back(std::move(update));
        return bytes;
    };
    if (name.kind == news_kind::Register) {
        const auto place = list.registers().find(name.key);
        isGone = place == list.registers().end();
        return isGone ? 0 : add(message.registers, register_update { .key = name.key, .value = place->second });
    }
    const member_entry* entry = list.find(name.member);
    isGone = entry == nullptr;
    if (isGone)
        return 0;
    if (name.kind == news_kind::Member)
        return add(message.members, entry->update);
    const auto record = entry->records.find(name.key);
    isGone = record == entry->records.end();
    if (isGone)
        return 0;
    return add(message.records,
        record_update { .id = name.member,
            .incarnation = entry->update.status.incarnation,
            .key = name.key,
            .version = record->second.version,
            .bytes = record->second.bytes });
}

std::size_t news_queue::fill(gossip_message& message, const member_list& list, std::size_t maxBytes, std::size_t limit, bool onlyRegisters)
{
    if (m_sends.empty())
        return 0;
    using send_place = std::map<news_name, std::size_t>::iterator;
    std::vector<send_place> order;
    order.reserve(m_sends.size());
    for (auto place = m_sends.begin(); place != m_sends.end(); ++place) {
        if (onlyRegisters && place->first.kind != news_kind::Register)
            break;
        order.push_back(place);
    }
    const auto isFirst = [](send_place left, send_place right) {
        const bool isLeftRegister = left->first.kind == news_kind::Register;
        const bool isRightRegister = right->first.kind == news_kind::Register;
        return isLeftRegister != isRightRegister ? isLeftRegister : left->second < right->second;
    };
    std::stable_sort(order.begin(), order.end(), isFirst);
    std::size_t filled = 0;
    int misfits = 0;
    for (const send_place place : order) {
        // A full message is not worth a look at everything that waits.
        if (misfits >= maxMisfits)
            break;
        bool isGone = false;
        const std::size_t bytes = append(message, list, place->first, maxBytes - filled, isGone);
        if (isGone) {
            m_sends.erase(place);
            continue;
        }
        if (bytes == 0) {
            ++misfits;
            continue;
        }
        filled += bytes;
        if (++place->second >= limit)
            m_sends.erase(place);
    }
    return filled;
}

} // namespace radishflow
