// Implements server_path as a TCP relay on one thread.
#include "server_path.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace radishflow {

static constexpr int pollIntervalMs = 5; // Bounds the delay until a change of the state applies.
static constexpr int backlog = 256;
static constexpr int maxFillers = 8;
static constexpr int fillerTimeoutMs = 20;
static constexpr int sendTimeoutMs = 100;

static sockaddr_in addressOf(const std::string& ip, std::uint16_t port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

static int openSocket()
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const int isOn = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &isOn, sizeof isOn);
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &isOn, sizeof isOn);
    return descriptor;
}

static bool connectTo(int descriptor, const std::string& ip, std::uint16_t port, int timeoutMs)
{
    const sockaddr_in address = addressOf(ip, port);
    if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0)
        return true;
    pollfd polled { .fd = descriptor, .events = POLLOUT, .revents = 0 };
    if (errno != EINPROGRESS || ::poll(&polled, 1, timeoutMs) <= 0)
        return false;
    int error = 0;
    socklen_t size = sizeof error;
    ::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size);
    return error == 0;
}

server_path::server_path(const std::string& ip, std::uint16_t serverPort)
    : m_ip(ip)
    , m_serverPort(serverPort)
{
    listen(backlog);
    m_address = m_ip + ':' + std::to_string(m_port);
    m_thread = std::thread { [this] { run(); } };
}

server_path::~server_path()
{
    m_isStopping = true;
    m_thread.join();
    closeListener();
    for (const link& open : m_links)
        close(open, false);
}

void server_path::listen(int length)
{
    if (m_listener < 0) {
        m_listener = openSocket();
        sockaddr_in address = addressOf(m_ip, m_port);
        socklen_t size = sizeof address;
        if (::bind(m_listener, reinterpret_cast<const sockaddr*>(&address), size) != 0)
            throw std::runtime_error("can't bind " + m_ip);
        ::getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &size);
        m_port = ntohs(address.sin_port);
    }
    ::listen(m_listener, length);
}

void server_path::closeListener()
{
    for (const int filler : m_fillers)
        ::close(filler);
    m_fillers.clear();
    if (m_listener >= 0)
        ::close(m_listener);
    m_listener = -1;
}

void server_path::fillAcceptQueue()
{
    for (int count = 0; count < maxFillers; ++count) {
        m_fillers.push_back(openSocket());
        if (!connectTo(m_fillers.back(), m_ip, m_port, fillerTimeoutMs))
            return;
    }
}

void server_path::close(const link& closed, bool isReset)
{
    const linger reset { .l_onoff = 1, .l_linger = 0 };
    for (const int descriptor : { closed.client, closed.server }) {
        if (isReset)
            ::setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
        ::close(descriptor);
    }
}

void server_path::applyState()
{
    const path_state wanted = m_wanted;
    if (wanted == m_state)
        return;
    m_state = wanted;
    closeListener();
    if (m_state == path_state::Open)
        listen(backlog);
    if (m_state == path_state::Hanging) {
        listen(0);
        fillAcceptQueue();
    }
    if (m_state == path_state::Reset) {
        for (const link& open : m_links)
            close(open, true);
        m_links.clear();
    }
}

void server_path::accept()
{
    while (true) {
        const int client = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
        if (client < 0)
            return;
        const int server = openSocket();
        constexpr int connectTimeoutMs = 1000;
        if (!connectTo(server, "127.0.0.1", m_serverPort, connectTimeoutMs)) {
            close({ .client = client, .server = server }, true);
            continue;
        }
        const int isOn = 1;
        ::setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &isOn, sizeof isOn);
        ++m_established;
        m_links.push_back({ .client = client, .server = server });
    }
}

bool server_path::forward(int from, int to)
{
    std::array<char, 16384> bytes;
    while (true) {
        const ssize_t received = ::recv(from, bytes.data(), bytes.size(), MSG_DONTWAIT);
        if (received < 0)
            return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
        if (received == 0)
            return false;
        for (ssize_t sent = 0; sent < received;) {
            const ssize_t written = ::send(to, bytes.data() + sent, static_cast<std::size_t>(received - sent), MSG_NOSIGNAL);
            pollfd writable { .fd = to, .events = POLLOUT, .revents = 0 };
            if (written < 0 && (errno != EAGAIN || ::poll(&writable, 1, sendTimeoutMs) <= 0))
                return false;
            sent += std::max<ssize_t>(written, 0);
        }
    }
}

void server_path::run()
{
    std::vector<pollfd> polled;
    while (!m_isStopping) {
        applyState();
        const bool isForwarding = m_state != path_state::Hanging;
        polled.clear();
        if (m_state == path_state::Open)
            polled.push_back({ .fd = m_listener, .events = POLLIN, .revents = 0 });
        for (const link& open : m_links) {
            for (const int descriptor : { open.client, open.server }) {
                if (isForwarding)
                    polled.push_back({ .fd = descriptor, .events = POLLIN, .revents = 0 });
            }
        }
        ::poll(polled.data(), polled.size(), pollIntervalMs);
        if (!isForwarding)
            continue;
        m_links.remove_if([](const link& open) {
            if (forward(open.client, open.server) && forward(open.server, open.client))
                return false;
            close(open, false);
            return true;
        });
        if (m_state == path_state::Open)
            accept();
    }
}

} // namespace radishflow
