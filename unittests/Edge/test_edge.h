// Declares test_edge, an edge_server with handlers that answer from the request, and raw calls to it.
#pragma once

#include "radishflow/Edge/edge_server.h"

#include <Poco/Net/StreamSocket.h>

#include <atomic>
#include <string>

namespace radishflow {

class test_edge {
public:
    explicit test_edge(const edge_options& = {});

    Poco::Net::StreamSocket connect() const;
    /// Sends the bytes, ends the sending side when asked to, and returns all that comes until the close.
    std::string call(const std::string& bytes, bool isHalfClosed = false) const;
    edge_server& server() { return m_server; }
    /// Calls that reached the handlers.
    int handled() const { return m_handled; }

private:
    edge_handlers handlers();

    std::atomic<int> m_handled = 0;
    edge_server m_server;
};

/// Reads until the other side closes or, for ten seconds, nothing comes.
std::string readAll(Poco::Net::StreamSocket&);

/// A whole model call with further header lines, each ended by CRLF.
std::string modelCall(const std::string& headers, const std::string& body = "{}");

} // namespace radishflow
