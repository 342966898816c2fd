// Declares soak_connection, a caller's connection that is kept until its daemon ends it.
#pragma once

#include "soak_call.h"

#include <Poco/Net/StreamSocket.h>

#include <chrono>
#include <optional>
#include <string>

namespace radishflow {

/// Used by one thread.
class soak_connection {
public:
    /// Connects when there is no connection to that port yet.
    bool open(std::uint16_t port);
    /// Sends a request and reads its answer into the call; the connection ends where the answer says so or is cut.
    void run(const std::string& request, std::chrono::milliseconds bound, soak_call& call);

private:
    bool receive(std::chrono::steady_clock::time_point end, std::string& input);

    std::optional<Poco::Net::StreamSocket> m_socket;
    std::uint16_t m_port = 0;
};

} // namespace radishflow
