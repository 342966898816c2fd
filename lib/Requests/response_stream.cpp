// Implements the reading of responses with the strict parsers of heads and bodies.
#include "radishflow/Requests/response_stream.h"

#include "radishflow/Requests/parse_head.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/NetException.h>

#include <array>
#include <cerrno>

namespace radishflow {

static constexpr std::size_t maxHeadBytes = 65536;
static constexpr int maxInterimResponses = 16;
static constexpr int firstFinalStatus = 200;

// The kernel reports the error of a connection only once. After a send has reported it, receiving returns the bytes that have
// arrived and then 0, as if the peer had ended its sending side. If the peer really had, the send fails with EPIPE.
static bool brokeDuringSend(const Poco::Net::HTTPClientSession& session)
{
    const Poco::Exception* error = session.networkException();
    return error && error->code() != EPIPE;
}

response_stream::response_stream(Poco::Net::HTTPClientSession& session)
    : m_socket(session.socket())
    , m_brokeDuringSend(brokeDuringSend(session))
{
}

bool response_stream::receive()
{
    std::array<char, 8192> bytes;
    const int count = m_socket.receiveBytes(bytes.data(), static_cast<int>(bytes.size()));
    if (count <= 0) {
        m_hasEnded = count == 0 && !m_brokeDuringSend;
        return false;
    }
    m_input.append(bytes.data(), static_cast<std::size_t>(count));
    return true;
}

const response_head& response_stream::readHead()
{
    for (int interim = 0; interim <= maxInterimResponses; ++interim) {
        std::size_t length = 0;
        parse_state state = parseResponseHead(m_input, maxHeadBytes, m_head, length);
        while (state == parse_state::Incomplete) {
            if (!receive())
                throw Poco::Net::NoMessageException("the connection ended in the head of the response");
            state = parseResponseHead(m_input, maxHeadBytes, m_head, length);
        }
        if (state != parse_state::Complete)
            throw Poco::Net::MessageException("the head of the response is not valid HTTP/1.1");
        m_input.erase(0, length);
        if (m_head.status < firstFinalStatus)
            continue;
        m_decoder = body_decoder::forResponse(m_head, false);
        if (!m_decoder)
            throw Poco::Net::MessageException("the length of the response is not clear");
        return m_head;
    }
    throw Poco::Net::MessageException("too many interim responses");
}

std::string response_stream::fieldOf(const char* name) const
{
    const std::string* value = m_head.fields.find(name);
    return value ? *value : std::string {};
}

// Exceptions of the socket set the stream's bad bit, so they end the body.
response_stream::int_type response_stream::underflow()
{
    m_decoded.clear();
    while (true) {
        const body_decoder::state state = m_decoder->feed(m_input, m_decoded);
        if (!m_decoded.empty())
            break;
        if (state != body_decoder::state::Reading || !receive())
            return traits_type::eof();
    }
    setg(m_decoded.data(), m_decoded.data(), m_decoded.data() + m_decoded.size());
    return traits_type::to_int_type(m_decoded.front());
}

} // namespace radishflow
