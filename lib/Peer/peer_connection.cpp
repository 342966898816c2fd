// Implements one Thrift connection to another daemon.
#include "peer_connection.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>
#include <thrift/transport/TSocket.h>

#include <charconv>
#include <sys/socket.h>

namespace radishflow {

static std::shared_ptr<apache::thrift::transport::TSocket> openSocket(const std::string& peer, std::chrono::milliseconds connectTimeout)
{
    const std::size_t colon = peer.rfind(':');
    int port = 0;
    if (colon != std::string::npos)
        std::from_chars(peer.data() + colon + 1, peer.data() + peer.size(), port);
    auto socket = std::make_shared<apache::thrift::transport::TSocket>(peer.substr(0, colon), port);
    socket->setConnTimeout(static_cast<int>(connectTimeout.count()));
    socket->setSendTimeout(1000);
    socket->setNoDelay(true);
    socket->open();
    return socket;
}

peer_connection::peer_connection(const std::string& peer, std::chrono::milliseconds connectTimeout)
    : m_socket(openSocket(peer, connectTimeout))
{
    auto framed = std::make_shared<apache::thrift::transport::TFramedTransport>(m_socket);
    m_client = std::make_unique<wire::PeerClient>(std::make_shared<apache::thrift::protocol::TCompactProtocol>(framed));
}

// A call on a connection that the peer closed while it was idle would count as a lost reply although
// nothing ran; one look at the socket tells the two apart in nearly every case.
bool peer_connection::isStale() const
{
    char byte = 0;
    const ssize_t received = recv(m_socket->getSocketFD(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

void peer_connection::setReplyTimeout(std::chrono::milliseconds timeout)
{
    m_socket->setRecvTimeout(static_cast<int>(timeout.count()));
}

} // namespace radishflow
