// Declares response_stream, which reads one response to a request of a POCO session from its connection.
#pragma once

#include "radishflow/Requests/body_decoder.h"
#include "radishflow/Requests/message_head.h"

#include <Poco/Net/StreamSocket.h>

#include <istream>
#include <optional>
#include <streambuf>
#include <string>

namespace Poco::Net {
class HTTPClientSession;
}

namespace radishflow {

/// Not thread-safe. Used instead of POCO's session, which takes a head or a body that breaks off for a complete one.
class response_stream : private std::streambuf {
public:
    /// Reads the response to the request that the session has sent, or tried to send.
    explicit response_stream(Poco::Net::HTTPClientSession&);

    /// Reads the head of the final response. Throws Poco::Exception if it breaks off, does not arrive in the socket's receive
    /// timeout or is malformed.
    const response_head& readHead();
    /// Returns the body without its framing, after readHead(). It also ends when the connection breaks.
    std::istream& body() { return m_body; }
    /// Returns whether the body that was read is complete, as the head frames it. A body without framing is complete if the
    /// peer ended the connection, and not if the connection broke or the socket's receive timeout passed.
    bool isComplete() const { return m_decoder && (m_decoder->isComplete() || (m_decoder->endsWithConnection() && m_hasEnded)); }
    /// Returns the value of a field of the head, or an empty text.
    std::string fieldOf(const char* name) const;

private:
    int_type underflow() override;
    /// Appends received bytes to the input; returns false at the end of the connection.
    bool receive();

    Poco::Net::StreamSocket m_socket;
    bool m_brokeDuringSend; ///< The connection broke while the request was sent, before the peer had ended its sending side.
    bool m_hasEnded = false; ///< The peer has ended its sending side.
    std::string m_input;
    response_head m_head;
    std::optional<body_decoder> m_decoder;
    std::string m_decoded;
    std::istream m_body { this };
};

} // namespace radishflow
