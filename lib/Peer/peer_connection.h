// Declares peer_connection, one Thrift connection to another daemon.
#pragma once

#include "Peer.h"

#include <chrono>
#include <memory>
#include <string>

namespace apache::thrift::transport {
class TSocket;
}

namespace radishflow {

/// One connection; used by one thread at a time.
class peer_connection {
public:
    /// Throws Thrift's TTransportException when the peer can't be reached.
    peer_connection(const std::string& peer, std::chrono::milliseconds connectTimeout);

    /// True when the peer has closed it or sent something unasked.
    bool isStale() const;

    void setReplyTimeout(std::chrono::milliseconds);
    wire::PeerClient& client() { return *m_client; }

private:
    std::shared_ptr<apache::thrift::transport::TSocket> m_socket;
    std::unique_ptr<wire::PeerClient> m_client;
};

} // namespace radishflow
