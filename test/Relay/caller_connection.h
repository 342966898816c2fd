// Declares caller_connection, a caller's persistent connection to a daemon.
#pragma once

#include <Poco/Net/StreamSocket.h>

#include <chrono>
#include <optional>
#include <string>

namespace radishflow {

struct received_response {
    int status = 0; ///< 0 when no response head was received.
    bool isComplete = false;
    std::string body; ///< The received part of the body, without its framing.
};

/// An HTTP connection that reads responses with the relay's own parsers, because POCO's client accepts a body without its
/// last chunk as complete. Not thread-safe.
class caller_connection {
public:
    /// Connects to "host:port" unless already connected to it; returns false when the connection can't be established.
    bool open(const std::string& address);
    /// Sends a part of a request; returns false if the connection has broken.
    bool send(const std::string&);
    /// Sends a request, or the rest of one, and reads its response. Closes the connection when the response asks for it, breaks off or isn't
    /// complete within the timeout.
    received_response run(const std::string& request, std::chrono::milliseconds timeout);

private:
    bool receive(std::chrono::steady_clock::time_point deadline, std::string& input);

    std::optional<Poco::Net::StreamSocket> m_socket;
    std::string m_address;
};

} // namespace radishflow
