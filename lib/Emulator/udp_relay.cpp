// Implements udp_relay as one loop over poll().
#include "udp_relay.h"

#include <Poco/Exception.h>

#include <algorithm>
#include <array>
#include <poll.h>
#include <vector>

namespace radishflow {

static constexpr std::size_t mostDatagramBytes = 65536;
static constexpr int busyMilliseconds = 1;
static constexpr int idleMilliseconds = 10;

udp_relay::udp_relay(const std::string& address, const std::string& target)
    : m_target(target)
    , m_socket(Poco::Net::SocketAddress { address })
    , m_thread([this] { run(); })
{
}

udp_relay::~udp_relay()
{
    {
        const std::lock_guard lock { m_mutex };
        m_isStopping = true;
    }
    m_thread.join();
}

void udp_relay::setRules(const proxy_rules& rules)
{
    const std::lock_guard lock { m_mutex };
    m_rules = rules;
    m_number = 0;
}

proxy_rules udp_relay::rules() const
{
    const std::lock_guard lock { m_mutex };
    return m_rules;
}

proxy_counts udp_relay::counts() const
{
    const std::lock_guard lock { m_mutex };
    return m_counts;
}

udp_relay::sender& udp_relay::senderAt(const Poco::Net::SocketAddress& address)
{
    const auto found = std::find_if(m_senders.begin(), m_senders.end(), [&](const sender& each) { return each.address == address; });
    if (found != m_senders.end())
        return *found;
    ++m_counts.accepted;
    sender& added = m_senders.emplace_back(sender { .address = address, .socket = {} });
    added.socket.connect(m_target);
    return added;
}

void udp_relay::take(std::string bytes, relay_way way, sender& from)
{
    const auto size = static_cast<std::int64_t>(bytes.size());
    (way == relay_way::Up ? m_counts.bytesUp : m_counts.bytesDown) += size;
    const bool isChosen = m_rules.choosesToCut(++m_number);
    if (m_rules.isCut || m_rules.isHalfOpen || m_rules.drops(way) || isChosen) {
        m_counts.bytesDropped += size;
        m_counts.cuts += isChosen ? 1 : 0;
        return;
    }
    m_queue.push_back({ .bytes = std::move(bytes), .dueAt = m_clock.now() + m_rules.delay, .way = way, .from = &from });
}

void udp_relay::receiveFrom(sender& from)
{
    std::array<char, mostDatagramBytes> buffer {};
    while (from.socket.poll(Poco::Timespan { 0 }, Poco::Net::Socket::SELECT_READ)) {
        const int received = from.socket.receiveBytes(buffer.data(), buffer.size());
        take({ buffer.data(), static_cast<std::size_t>(received) }, relay_way::Down, from);
    }
}

void udp_relay::receiveAll()
{
    std::array<char, mostDatagramBytes> buffer {};
    while (m_socket.poll(Poco::Timespan { 0 }, Poco::Net::Socket::SELECT_READ)) {
        Poco::Net::SocketAddress address;
        const int received = m_socket.receiveFrom(buffer.data(), buffer.size(), address);
        take({ buffer.data(), static_cast<std::size_t>(received) }, relay_way::Up, senderAt(address));
    }
    for (sender& each : m_senders) {
        try {
            receiveFrom(each);
        } catch (const Poco::Exception&) {
            continue; // Nobody listens at the target; the datagram is lost, as it would be without the proxy.
        }
    }
}

void udp_relay::sendDue()
{
    const time_point now = m_clock.now();
    while (!m_queue.empty() && m_queue.front().dueAt <= now) {
        const datagram next = std::move(m_queue.front());
        m_queue.pop_front();
        const auto size = static_cast<int>(next.bytes.size());
        try {
            if (next.way == relay_way::Up)
                next.from->socket.sendBytes(next.bytes.data(), size);
            else
                m_socket.sendTo(next.bytes.data(), size, next.from->address);
        } catch (const Poco::Exception&) {
            continue; // As above.
        }
    }
}

void udp_relay::wait()
{
    std::vector<pollfd> waits;
    bool isBusy = false;
    {
        const std::lock_guard lock { m_mutex };
        waits.reserve(m_senders.size() + 1);
        waits.push_back({ .fd = m_socket.impl()->sockfd(), .events = POLLIN, .revents = 0 });
        for (const sender& each : m_senders)
            waits.push_back({ .fd = each.socket.impl()->sockfd(), .events = POLLIN, .revents = 0 });
        isBusy = !m_queue.empty();
    }
    ::poll(waits.data(), waits.size(), isBusy ? busyMilliseconds : idleMilliseconds);
}

void udp_relay::run()
{
    for (;;) {
        {
            const std::lock_guard lock { m_mutex };
            if (m_isStopping)
                return;
            try {
                receiveAll();
            } catch (const Poco::Exception&) {
                // A datagram could not be taken; it is lost, as it would be without the proxy.
            }
            sendDue();
        }
        wait();
    }
}

} // namespace radishflow
