// Implements tcp_relay as one loop over poll(). The lock is held for all of a round but the wait, so that a
// rule is in force once the control call has been answered.
#include "tcp_relay.h"

#include <Poco/Exception.h>

#include <sys/socket.h>
#include <vector>

namespace radishflow {

static constexpr int listenBacklog = 1024;
static constexpr int busyMilliseconds = 1;
static constexpr int idleMilliseconds = 10;

tcp_relay::tcp_relay(const std::string& address, const std::string& target)
    : m_address(address)
    , m_target(target)
{
    listen();
    m_address = m_listener->address();
    m_thread = std::thread { [this] { run(); } };
}

tcp_relay::~tcp_relay()
{
    {
        const std::lock_guard lock { m_mutex };
        m_isStopping = true;
    }
    m_thread.join();
}

void tcp_relay::listen()
{
    Poco::Net::ServerSocket socket;
    socket.bind(m_address, true, false);
    socket.listen(listenBacklog);
    socket.setBlocking(false);
    m_listener = socket;
}

void tcp_relay::closeAll()
{
    // The relay's thread may be waiting on the socket, which would keep it listening for a while after a close.
    if (m_listener)
        ::shutdown(m_listener->impl()->sockfd(), SHUT_RDWR);
    m_listener.reset();
    m_connections.clear();
}

void tcp_relay::setRules(const proxy_rules& rules)
{
    const std::lock_guard lock { m_mutex };
    m_rules = rules;
    m_number = 0;
    if (rules.isCut)
        closeAll();
    else if (!m_listener)
        listen();
}

proxy_rules tcp_relay::rules() const
{
    const std::lock_guard lock { m_mutex };
    return m_rules;
}

proxy_counts tcp_relay::counts() const
{
    const std::lock_guard lock { m_mutex };
    return m_counts;
}

void tcp_relay::acceptAll()
{
    while (m_listener && m_listener->poll(Poco::Timespan { 0 }, Poco::Net::Socket::SELECT_READ)) {
        try {
            const Poco::Net::StreamSocket caller = m_listener->acceptConnection();
            const std::uint64_t number = ++m_number;
            ++m_counts.accepted;
            m_connections.emplace_back(caller, m_rules.choosesToCut(number) ? m_rules.cutAfterBytes(number) : 0);
        } catch (const Poco::Exception&) {
            return; // The caller was gone before it was accepted.
        }
    }
}

void tcp_relay::moveBytes()
{
    std::vector<pollfd> waits;
    waits.reserve(2 * m_connections.size());
    for (const relay_connection& connection : m_connections)
        connection.addWaits(waits, m_rules);
    ::poll(waits.data(), waits.size(), 0);
    const time_point now = m_clock.now();
    auto wait = waits.cbegin();
    m_connections.remove_if([&](relay_connection& connection) {
        const pollfd& caller = *wait++;
        const pollfd& target = *wait++;
        return !connection.step(caller, target, m_target, m_rules, now, m_counts);
    });
}

void tcp_relay::run()
{
    std::vector<pollfd> waits;
    for (;;) {
        bool isBusy = false;
        {
            const std::lock_guard lock { m_mutex };
            if (m_isStopping)
                return;
            acceptAll();
            moveBytes();
            waits.clear();
            if (m_listener)
                waits.push_back({ .fd = m_listener->impl()->sockfd(), .events = POLLIN, .revents = 0 });
            for (const relay_connection& connection : m_connections) {
                connection.addWaits(waits, m_rules);
                isBusy = isBusy || connection.hasQueued();
            }
        }
        ::poll(waits.data(), waits.size(), isBusy ? busyMilliseconds : idleMilliseconds);
    }
}

} // namespace radishflow
