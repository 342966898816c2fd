// Declares caller_connection, a caller's connection that is kept until its daemon ends it.
#pragma once

#include <Poco/Net/StreamSocket.h>

#include <chrono>
#include <optional>
#include <string>

namespace radishflow {

struct caller_answer {
    int status = 0; ///< 0 when no head came.
    bool isWhole = false;
    std::string body; ///< What came of it, without its framing.
};

/// Reads answers by the relay's own parsers: POCO's client takes a body that lacks its last chunk for whole. Used by one
/// thread.
class caller_connection {
public:
    /// Connects to "host:port" unless there is a connection to it yet; returns false when nothing listens there.
    bool open(const std::string& address);
    /// Sends a request and reads its answer; the connection ends where the answer says so, is cut or takes too long.
    caller_answer run(const std::string& request, std::chrono::milliseconds bound);

private:
    bool receive(std::chrono::steady_clock::time_point end, std::string& input);

    std::optional<Poco::Net::StreamSocket> m_socket;
    std::string m_address;
};

} // namespace radishflow
