// Implements delayed_bytes with a token bucket of a twentieth of a second's bytes.
#include "delayed_bytes.h"

#include <algorithm>
#include <cassert>

namespace radishflow {

static constexpr double burstSeconds = 0.05;

void delayed_bytes::push(std::string_view bytes, time_point dueAt)
{
    assert(!m_hasEnd && "no bytes come after the end");
    if (bytes.empty())
        return;
    m_parts.push_back({ .bytes = std::string { bytes }, .dueAt = dueAt });
    m_size += bytes.size();
}

void delayed_bytes::end(time_point dueAt)
{
    m_hasEnd = true;
    m_endAt = dueAt;
}

void delayed_bytes::refill(time_point now, std::int64_t bytesPerSecond)
{
    const auto rate = static_cast<double>(bytesPerSecond);
    const double seconds = std::chrono::duration<double> { now - m_refilledAt }.count();
    m_allowance = std::min(std::max(1.0, rate * burstSeconds), m_allowance + seconds * rate);
    m_refilledAt = now;
}

std::string_view delayed_bytes::ready(time_point now, std::int64_t bytesPerSecond)
{
    if (bytesPerSecond > 0)
        refill(now, bytesPerSecond);
    if (m_parts.empty() || m_parts.front().dueAt > now)
        return {};
    const std::string_view front = m_parts.front().bytes;
    if (bytesPerSecond <= 0)
        return front;
    return front.substr(0, static_cast<std::size_t>(m_allowance));
}

void delayed_bytes::consume(std::size_t count)
{
    if (count == 0)
        return;
    std::string& front = m_parts.front().bytes;
    assert(count <= front.size() && "only ready bytes can be taken");
    m_size -= count;
    m_allowance = std::max(0.0, m_allowance - static_cast<double>(count));
    front.erase(0, count);
    if (front.empty())
        m_parts.pop_front();
}

} // namespace radishflow
