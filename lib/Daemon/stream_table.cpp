// Implements the table of responses in progress.
#include "radishflow/Daemon/stream_table.h"

#include <algorithm>
#include <mutex>
#include <utility>

namespace radishflow {

bool stream_table::add(const std::string& streamId, const request_id& request, std::shared_ptr<answer_buffer> answer, time_point now)
{
    const std::lock_guard lock { m_mutex };
    if (!m_entries.try_emplace(streamId, entry { .request = request, .answer = std::move(answer), .lastRead = now }).second)
        return false;
    std::string& newest = m_newest[request];
    if (const auto earlier = m_entries.find(newest); earlier != m_entries.end()) {
        earlier->second.answer->supersede();
        m_entries.erase(earlier);
    }
    newest = streamId;
    return true;
}

void stream_table::removeNewest(const std::string& streamId, const request_id& request)
{
    const auto newest = m_newest.find(request);
    if (newest != m_newest.end() && newest->second == streamId)
        m_newest.erase(newest);
}

std::shared_ptr<answer_buffer> stream_table::find(const std::string& streamId, time_point now)
{
    const std::lock_guard lock { m_mutex };
    const auto found = m_entries.find(streamId);
    if (found == m_entries.end())
        return nullptr;
    found->second.lastRead = now;
    return found->second.answer;
}

void stream_table::abandon(const std::string& streamId)
{
    const std::lock_guard lock { m_mutex };
    const auto found = m_entries.find(streamId);
    if (found == m_entries.end())
        return;
    found->second.answer->abandon();
    removeNewest(streamId, found->second.request);
    m_entries.erase(found);
}

void stream_table::sweep(time_point now, duration unreadBound)
{
    const std::lock_guard lock { m_mutex };
    std::erase_if(m_entries, [&](auto& item) {
        if (now - item.second.lastRead < unreadBound)
            return false;
        item.second.answer->abandon();
        removeNewest(item.first, item.second.request);
        return true;
    });
}

std::size_t stream_table::size() const
{
    const std::lock_guard lock { m_mutex };
    return m_entries.size();
}

std::size_t stream_table::undelivered() const
{
    const std::lock_guard lock { m_mutex };
    return static_cast<std::size_t>(std::count_if(m_entries.begin(), m_entries.end(), [](const auto& item) { return !item.second.answer->hasBeenDelivered(); }));
}

} // namespace radishflow
