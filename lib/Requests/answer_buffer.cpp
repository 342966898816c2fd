// Implements the buffer between the backend's reader and the caller's writer.
#include "radishflow/Requests/answer_buffer.h"

#include <algorithm>
#include <cassert>
#include <mutex>
#include <utility>

namespace radishflow {

void answer_buffer::begin(int status, std::string contentType)
{
    const std::lock_guard lock { m_mutex };
    assert(m_status == 0 && "an answer has one head");
    m_status = status;
    m_contentType = std::move(contentType);
    m_changed.notify_all();
}

// A slow caller must bound the daemon's memory, so the writer waits, and with it the backend's socket.
bool answer_buffer::append(std::string_view bytes, std::chrono::milliseconds bound)
{
    std::unique_lock lock { m_mutex };
    const bool hasRoom = m_changed.wait_for(lock, bound, [&] { return m_abandoned || m_bytes.size() < m_capacity; });
    if (m_abandoned || !hasRoom)
        return false;
    m_bytes.append(bytes);
    m_changed.notify_all();
    return true;
}

void answer_buffer::finish()
{
    const std::lock_guard lock { m_mutex };
    m_finished = !m_broken;
    m_changed.notify_all();
}

void answer_buffer::breakOff(refusal reason)
{
    const std::lock_guard lock { m_mutex };
    if (m_finished || m_broken)
        return;
    m_broken = true;
    m_reason = std::move(reason);
    m_changed.notify_all();
}

void answer_buffer::abandon()
{
    const std::lock_guard lock { m_mutex };
    m_abandoned = true;
    m_changed.notify_all();
}

void answer_buffer::supersede()
{
    const std::lock_guard lock { m_mutex };
    m_abandoned = true;
    m_superseded = true;
    m_changed.notify_all();
}

bool answer_buffer::isSuperseded() const
{
    const std::lock_guard lock { m_mutex };
    return m_superseded;
}

bool answer_buffer::isAbandoned() const
{
    const std::lock_guard lock { m_mutex };
    return m_abandoned;
}

bool answer_buffer::hasEnded() const
{
    const std::lock_guard lock { m_mutex };
    return m_finished || m_broken;
}

bool answer_buffer::hasBeenDelivered() const
{
    const std::lock_guard lock { m_mutex };
    return m_delivered;
}

bool answer_buffer::hasNewsAt(std::uint64_t offset) const
{
    return m_finished || m_broken || offset < m_firstOffset || offset < m_firstOffset + m_bytes.size();
}

answer_part answer_buffer::read(std::uint64_t offset, std::chrono::milliseconds bound, std::size_t most)
{
    std::unique_lock lock { m_mutex };
    m_changed.wait_for(lock, bound, [&] { return hasNewsAt(offset); });
    answer_part part { .offset = offset, .status = m_status, .contentType = m_contentType };
    const std::uint64_t end = m_firstOffset + m_bytes.size();
    if (offset < m_firstOffset || offset > end) {
        part.broken = true;
        part.refused = refusal { .status = 410, .title = "Offset is gone", .detail = "the bytes at this offset were freed", .execution = execution_state::Unknown };
        return part;
    }
    m_bytes.erase(0, offset - m_firstOffset);
    m_firstOffset = offset;
    part.data = m_bytes.substr(0, most);
    const bool reachesEnd = offset + part.data.size() == end;
    part.finished = m_finished && reachesEnd;
    part.broken = m_broken && reachesEnd;
    if (part.broken)
        part.refused = m_reason;
    m_delivered = m_delivered || part.finished || part.broken;
    m_changed.notify_all();
    return part;
}

} // namespace radishflow
