// Implements relay_socket with POCO's sockets, and poll() to wait for a server and its caller at the same time.
#include "radishflow/Relay/relay_socket.h"

#include "radishflow/Support/boottime_clock.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <poll.h>
#include <sys/socket.h>
#include <utility>

namespace radishflow {

static constexpr std::chrono::milliseconds lingerTime { 500 };
static constexpr std::size_t readBytes = 8192;
static constexpr int maxLateReads = 64;
static constexpr int maxDiscardedReads = 64;

static int pollTimeout(time_point deadline)
{
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(deadline - boottime_clock {}.now());
    return static_cast<int>(std::clamp<std::chrono::milliseconds::rep>(left.count(), 0, 60000));
}

relay_socket::relay_socket(const Poco::Net::StreamSocket& socket, std::chrono::milliseconds maxSilence)
    : m_socket(socket)
    , m_maxSilence(maxSilence)
    , m_isOpen(true)
{
    m_socket.setBlocking(false);
    m_socket.setNoDelay(true);
    enableKeepAlive(m_socket, maxSilence);
}

io_outcome relay_socket::connect(const std::string& address, time_point deadline, const relay_socket* caller, relay_socket& connected)
{
    try {
        Poco::Net::StreamSocket socket;
        socket.connectNB(Poco::Net::SocketAddress { address });
        connected = relay_socket { socket };
        short returnedEvents = 0;
        const io_outcome outcome = connected.wait(POLLOUT, deadline, caller, returnedEvents);
        if (outcome != io_outcome::Done || socket.impl()->socketError() != 0) {
            connected.close();
            return outcome == io_outcome::Done ? io_outcome::Broken : outcome;
        }
        return io_outcome::Done;
    } catch (const Poco::Exception&) {
        connected.close();
        return io_outcome::Broken;
    }
}

io_outcome relay_socket::wait(short events, time_point deadline, const relay_socket* caller, short& returnedEvents) const
{
    std::array<pollfd, 2> polled {};
    polled[0] = { .fd = descriptor(), .events = events, .revents = 0 };
    nfds_t count = 1;
    if (caller) {
        if (!caller->isOpen())
            return io_outcome::CallerGone;
        // POLLIN reports both further data and the end of the connection. Once data was received, only POLLRDHUP
        // detects that the caller has disconnected.
        const short watched = caller->m_input.empty() ? POLLIN | POLLRDHUP : POLLRDHUP;
        polled[1] = { .fd = caller->descriptor(), .events = watched, .revents = 0 };
        count = 2;
    }
    while (true) {
        const int ready = ::poll(polled.data(), count, pollTimeout(deadline));
        if (ready < 0 && errno != EINTR)
            return io_outcome::Broken;
        if (caller && polled[1].revents != 0) {
            if (caller->hasPeerDisconnected())
                return io_outcome::CallerGone;
            polled[1].events = POLLRDHUP;
        }
        if (polled[0].revents != 0) {
            returnedEvents = polled[0].revents;
            return io_outcome::Done;
        }
        if (pollTimeout(deadline) == 0)
            return io_outcome::TimedOut;
    }
}

io_outcome relay_socket::waitForInput(time_point deadline, const relay_socket* caller) const
{
    short returnedEvents = 0;
    return wait(POLLIN, deadline, caller, returnedEvents);
}

io_outcome relay_socket::receive(time_point deadline, const relay_socket* caller)
{
    // While a peer sends faster than its bytes are read, nothing below waits, so the deadline and the caller are checked here.
    // Bytes that had arrived by the deadline are still read if this thread runs late.
    m_lateReads = boottime_clock {}.now() < deadline ? 0 : m_lateReads + 1;
    if (m_lateReads > maxLateReads)
        return io_outcome::TimedOut;
    if (!m_isDrained && m_hasReceived && caller && (!caller->isOpen() || caller->hasPeerDisconnected()))
        return io_outcome::CallerGone;
    while (true) {
        // The previous read did not fill the buffer and thus drained the socket, so waiting first saves a read that
        // would fail with EAGAIN.
        if (std::exchange(m_isDrained, false)) {
            const io_outcome outcome = waitForInput(deadline, caller);
            if (outcome != io_outcome::Done)
                return outcome;
        }
        const std::size_t before = m_input.size();
        m_input.resize(before + readBytes);
        const ssize_t received = ::recv(descriptor(), m_input.data() + before, readBytes, MSG_DONTWAIT);
        const int error = errno;
        m_input.resize(before + static_cast<std::size_t>(std::max<ssize_t>(received, 0)));
        if (received > 0) {
            m_hasReceived = true;
            m_isDrained = static_cast<std::size_t>(received) < readBytes;
            return io_outcome::Done;
        }
        if (received == 0)
            return m_brokeDuringSend ? io_outcome::Broken : io_outcome::Ended;
        m_hasPeerTimedOut = error == ETIMEDOUT;
        if (error != EAGAIN && error != EWOULDBLOCK && error != EINTR)
            return io_outcome::Broken;
        m_isDrained = true;
    }
}

io_outcome relay_socket::send(std::string_view bytes, time_point deadline, const relay_socket* caller, std::size_t* sent)
{
    std::size_t done = 0;
    io_outcome outcome = io_outcome::Done;
    while (done < bytes.size()) {
        const ssize_t written = ::send(descriptor(), bytes.data() + done, bytes.size() - done, MSG_DONTWAIT | MSG_NOSIGNAL);
        if (written >= 0) {
            done += static_cast<std::size_t>(written);
            continue;
        }
        if (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR) {
            m_hasPeerTimedOut = errno == ETIMEDOUT;
            // The kernel reports the error of a connection only once. After this send, recv() returns the bytes that have arrived
            // and then 0, as if the peer had ended its sending side. If the peer really had, the first error is EPIPE.
            m_brokeDuringSend = m_brokeDuringSend || errno != EPIPE;
            outcome = io_outcome::Broken;
            break;
        }
        short returnedEvents = 0;
        outcome = wait(sent ? POLLOUT | POLLIN : POLLOUT, deadline, caller, returnedEvents);
        if (outcome != io_outcome::Done || (sent && (returnedEvents & POLLIN) != 0))
            break;
    }
    if (sent)
        *sent = done;
    return outcome;
}

void relay_socket::setMaxSilence(std::chrono::milliseconds maxSilence)
{
    if (std::exchange(m_maxSilence, maxSilence) != maxSilence)
        radishflow::setMaxSilence(m_socket, maxSilence);
}

bool relay_socket::hasPeerDisconnected() const
{
    char byte = 0;
    const ssize_t peeked = ::recv(descriptor(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (peeked == 0)
        return true;
    if (peeked < 0)
        return errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR;
    pollfd ended { .fd = descriptor(), .events = POLLRDHUP, .revents = 0 };
    return ::poll(&ended, 1, 0) > 0 && (ended.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

bool relay_socket::isIdle() const
{
    char byte = 0;
    return m_input.empty() && ::recv(descriptor(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void relay_socket::close()
{
    m_isOpen = false;
    m_socket.close();
}

void relay_socket::abort()
{
    const linger reset { .l_onoff = 1, .l_linger = 0 };
    ::setsockopt(descriptor(), SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
    close();
}

void relay_socket::shutdownSend()
{
    ::shutdown(descriptor(), SHUT_WR);
    std::array<char, readBytes> dropped;
    for (int read = 0; read<maxDiscardedReads&& ::recv(descriptor(), dropped.data(), dropped.size(), MSG_DONTWAIT)> 0; ++read) { }
}

void relay_socket::lingeringClose()
{
    ::shutdown(descriptor(), SHUT_WR);
    const time_point deadline = boottime_clock {}.now() + lingerTime;
    while (receive(deadline) == io_outcome::Done)
        m_input.clear();
    close();
}

} // namespace radishflow
