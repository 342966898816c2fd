// Implements one relayed connection. A stream that lost bytes is never continued: it would hand its reader
// text that nobody sent.
#include "relay_connection.h"

#include <Poco/Exception.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <sys/socket.h>

namespace radishflow {

static constexpr std::size_t mostQueuedBytes = 1'048'576;
static constexpr std::size_t readBytes = 16'384;
static constexpr Poco::Timespan::TimeDiff connectMicroseconds = 200'000;
static constexpr short readable = POLLIN | POLLHUP | POLLERR;

relay_connection::relay_connection(const Poco::Net::StreamSocket& caller, std::int64_t cutAfterBytes)
    : m_caller(caller)
    , m_cutAfterBytes(cutAfterBytes)
{
    m_caller.setNoDelay(true);
}

bool relay_connection::connect(const Poco::Net::SocketAddress& target)
{
    try {
        m_target.connect(target, Poco::Timespan { connectMicroseconds });
        m_target.setNoDelay(true);
        m_isConnected = true;
        return true;
    } catch (const Poco::Exception&) {
        return false;
    }
}

void relay_connection::addWaits(std::vector<pollfd>& waits, const proxy_rules& rules) const
{
    const auto wait = [&](const Poco::Net::StreamSocket& socket, const direction& from) {
        const bool reads = m_isConnected && !rules.isHalfOpen && !from.bytes.isEnded() && from.bytes.size() < mostQueuedBytes;
        // poll() skips negative descriptors, which keeps a closed peer from waking it all the time.
        waits.push_back({ .fd = reads ? socket.impl()->sockfd() : -1, .events = POLLIN, .revents = 0 });
    };
    wait(m_caller, m_up);
    wait(m_target, m_down);
}

bool relay_connection::read(Poco::Net::StreamSocket& from, relay_way way, const proxy_rules& rules, time_point now,
    proxy_counts& counts)
{
    std::array<char, readBytes> buffer {};
    const ssize_t received = ::recv(from.impl()->sockfd(), buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (received < 0)
        return errno == EAGAIN || errno == EINTR;
    direction& through = way == relay_way::Up ? m_up : m_down;
    (way == relay_way::Up ? counts.bytesUp : counts.bytesDown) += received;
    if (rules.drops(way)) {
        counts.bytesDropped += received;
        through.hasHole = true;
        if (received == 0)
            through.bytes.end(now);
        return true;
    }
    if (received == 0) {
        through.bytes.end(now + rules.delay);
        return true;
    }
    m_bytes += received;
    auto passed = static_cast<std::size_t>(received);
    if (m_cutAfterBytes > 0 && m_bytes > m_cutAfterBytes)
        passed -= std::min(passed, static_cast<std::size_t>(m_bytes - m_cutAfterBytes));
    through.bytes.push({ buffer.data(), passed }, now + rules.delay);
    return true;
}

bool relay_connection::write(direction& through, Poco::Net::StreamSocket& to, const proxy_rules& rules, time_point now)
{
    for (;;) {
        const std::string_view ready = through.bytes.ready(now, rules.bytesPerSecond);
        if (ready.empty())
            break;
        const ssize_t sent = ::send(to.impl()->sockfd(), ready.data(), ready.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
        if (sent < 0)
            return errno == EAGAIN || errno == EINTR;
        through.bytes.consume(static_cast<std::size_t>(sent));
    }
    if (through.bytes.isFinished(now) && !through.hasHole && !through.isShut) {
        ::shutdown(to.impl()->sockfd(), SHUT_WR);
        through.isShut = true;
    }
    return true;
}

bool relay_connection::step(const pollfd& caller, const pollfd& target, const Poco::Net::SocketAddress& targetAddress,
    const proxy_rules& rules, time_point now, proxy_counts& counts)
{
    if (rules.isHalfOpen)
        return true;
    if (!m_isConnected && !connect(targetAddress))
        return false;
    if ((m_up.hasHole && !rules.drops(relay_way::Up)) || (m_down.hasHole && !rules.drops(relay_way::Down)))
        return false;
    if ((caller.revents & readable) != 0 && !read(m_caller, relay_way::Up, rules, now, counts))
        return false;
    if ((target.revents & readable) != 0 && !read(m_target, relay_way::Down, rules, now, counts))
        return false;
    if (!write(m_up, m_target, rules, now) || !write(m_down, m_caller, rules, now))
        return false;
    if (m_cutAfterBytes > 0 && m_bytes >= m_cutAfterBytes) {
        ++counts.cuts;
        return false;
    }
    return !(m_up.isShut && m_down.isShut);
}

} // namespace radishflow
