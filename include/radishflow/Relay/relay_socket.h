// Declares relay_socket, a connection with the bytes read from it so far.
#pragma once

#include "radishflow/Relay/io_outcome.h"
#include "radishflow/Support/monotonic_clock.h"

#include <Poco/Net/StreamSocket.h>

#include <string>
#include <string_view>

namespace radishflow {

/// Never blocks longer than the given time. Used by one thread at a time.
class relay_socket {
public:
    explicit relay_socket(const Poco::Net::StreamSocket&);

    /// Connects; `caller`, where given, ends the wait when its peer leaves.
    static io_outcome connect(const std::string& address, time_point deadline, const relay_socket* caller, relay_socket& connected);
    relay_socket() = default;

    /// Bytes that arrived and weren't taken yet.
    std::string& input() { return m_input; }

    /// Reads what there is, waiting for the first byte.
    io_outcome receive(time_point deadline, const relay_socket* caller = nullptr);
    /// Sends all of it. With `sent`, ends early and tells how much went out once the peer sends something itself.
    io_outcome send(std::string_view bytes, time_point deadline, const relay_socket* caller = nullptr, std::size_t* sent = nullptr);
    /// Waits until something may be read or the deadline has passed.
    io_outcome waitForInput(time_point deadline, const relay_socket* caller) const;

    /// Whether the peer has closed or reset the connection.
    bool hasPeerDisconnected() const;
    /// Whether nothing has come since the last message, neither bytes nor an end.
    bool isIdle() const;
    /// Gives back the memory of the input while the connection is idle.
    void releaseSpareMemory() { m_input.shrink_to_fit(); }
    bool isOpen() const { return m_isOpen; }
    void close();
    /// Drops the connection so that the peer sees that it broke.
    void abort();
    /// Ends the sending side and drops what has come, so that a close doesn't reset the connection.
    void shutdownSend();
    /// Ends the sending side, then drops what the peer still sends for a moment, so that the answer isn't lost.
    void lingeringClose();
    const Poco::Net::StreamSocket& socket() const { return m_socket; }

private:
    int descriptor() const { return m_socket.impl()->sockfd(); }
    io_outcome wait(short events, time_point deadline, const relay_socket* caller, short& returnedEvents) const;

    Poco::Net::StreamSocket m_socket;
    std::string m_input;
    bool m_isOpen = false;
    bool m_isDrained = false;
};

} // namespace radishflow
