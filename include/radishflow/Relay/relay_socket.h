// Declares relay_socket, a non-blocking TCP connection with its buffer of received bytes.
#pragma once

#include "radishflow/Relay/io_outcome.h"
#include "radishflow/Relay/tcp_keep_alive.h"
#include "radishflow/Support/monotonic_clock.h"

#include <Poco/Net/StreamSocket.h>

#include <chrono>
#include <string>
#include <string_view>

namespace radishflow {

/// Operations wait at most until the given deadline. If `caller` is given, they also end when that peer disconnects.
/// Not thread-safe.
class relay_socket {
public:
    /// Takes over a connection whose peer may be silent for `maxSilence`.
    explicit relay_socket(const Poco::Net::StreamSocket&, std::chrono::milliseconds maxSilence = maxSilenceIfRepeatable);

    /// Connects to "IP:port"; the peer may be silent for maxSilenceIfRepeatable until setMaxSilence() is called.
    static io_outcome connect(const std::string& address, time_point deadline, const relay_socket* caller, relay_socket& connected);
    relay_socket() = default;

    /// Bytes received and not yet consumed.
    std::string& input() { return m_input; }

    /// Appends available bytes to the input; waits if there are none.
    io_outcome receive(time_point deadline, const relay_socket* caller = nullptr);
    /// Sends all bytes. If `sent` is given, stores the number of bytes sent there, and stops early once the send has to wait
    /// and the peer has sent data itself.
    io_outcome send(std::string_view bytes, time_point deadline, const relay_socket* caller = nullptr, std::size_t* sent = nullptr);
    /// Waits until data can be read or the deadline has passed.
    io_outcome waitForInput(time_point deadline, const relay_socket* caller) const;

    void setMaxSilence(std::chrono::milliseconds);
    /// Returns whether the connection failed because the peer was silent for longer than allowed.
    bool hasPeerTimedOut() const { return m_hasPeerTimedOut; }
    /// Returns whether the peer has closed or reset the connection.
    bool hasPeerDisconnected() const;
    /// Returns whether the connection is open and no received bytes are buffered or waiting to be read.
    bool isIdle() const;
    /// Frees unused memory of the input buffer, for the time for which the connection is idle.
    void releaseSpareMemory() { m_input.shrink_to_fit(); }
    bool isOpen() const { return m_isOpen; }
    void close();
    /// Resets the connection, so that the peer does not take it for a clean end.
    void abort();
    /// Shuts down the sending side and discards received bytes, since closing with unread bytes resets the connection.
    void shutdownSend();
    /// Shuts down the sending side, discards for a short time what the peer still sends, and closes. Without this, a reset
    /// could destroy the response before the peer has read it.
    void lingeringClose();
    const Poco::Net::StreamSocket& socket() const { return m_socket; }

private:
    int descriptor() const { return m_socket.impl()->sockfd(); }
    io_outcome wait(short events, time_point deadline, const relay_socket* caller, short& returnedEvents) const;

    Poco::Net::StreamSocket m_socket;
    std::chrono::milliseconds m_maxSilence { 0 }; ///< As set on the socket.
    std::string m_input;
    bool m_isOpen = false;
    bool m_isDrained = false; ///< The last read left no bytes in the socket.
    bool m_hasReceived = false;
    bool m_hasPeerTimedOut = false;
    bool m_brokeDuringSend = false; ///< A send reported that the connection broke before the peer had ended its sending side.
    int m_lateReads = 0; ///< Consecutive reads after their deadline.
};

} // namespace radishflow
