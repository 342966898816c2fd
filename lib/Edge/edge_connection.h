// Declares edge_connection, which serves the requests of one caller's connection.
#pragma once

#include "connection_watch.h"
#include "shared_edge.h"

#include <Poco/Net/TCPServerConnection.h>

namespace Poco::Net {
class HTTPServerRequestImpl;
class HTTPServerResponseImpl;
class HTTPServerSession;
}

namespace radishflow {

/// POCO's HTTPServerConnection tells a caller nothing of a malformed head and bounds no request as a whole, so
/// this takes its place. Runs in a worker.
class edge_connection final : public Poco::Net::TCPServerConnection {
public:
    edge_connection(const Poco::Net::StreamSocket&, shared_edge&);

    void run() override;

private:
    bool serveOne(Poco::Net::HTTPServerSession&, connection_watch::entry&);
    void handle(Poco::Net::HTTPServerRequestImpl&, Poco::Net::HTTPServerResponseImpl&, connection_watch::entry&);
    void answerCall(Poco::Net::HTTPServerRequestImpl&, Poco::Net::HTTPServerResponseImpl&, connection_watch::entry&);
    void answerDocument(Poco::Net::HTTPServerRequestImpl&, Poco::Net::HTTPServerResponseImpl&, connection_watch::entry&, const std::string& path);

    shared_edge& m_edge;
};

} // namespace radishflow
