// Implements a caller's connection of a soak on the relay's own parsers.
#include "soak_connection.h"

#include "radishflow/Relay/body_decoder.h"
#include "radishflow/Relay/parse_head.h"
#include "radishflow/Support/timespan.h"

#include <Poco/Exception.h>

#include <algorithm>
#include <array>

namespace radishflow {

using steady = std::chrono::steady_clock;

static constexpr std::size_t mostHeadBytes = 8192;

bool soak_connection::open(std::uint16_t port)
{
    if (m_socket && m_port == port)
        return true;
    m_socket.reset();
    try {
        Poco::Net::StreamSocket socket;
        socket.connect(Poco::Net::SocketAddress { "127.0.0.1", port }, Poco::Timespan { 1, 0 });
        m_socket = socket;
        m_port = port;
    } catch (const Poco::Exception&) {
        return false; // A daemon that is down is a case of the soak; the caller counts it as a call without an answer.
    }
    return true;
}

// Returns false at the end of the connection and of the time.
bool soak_connection::receive(steady::time_point end, std::string& input)
{
    const auto left = std::chrono::duration_cast<std::chrono::microseconds>(end - steady::now());
    if (left.count() <= 0 || !m_socket->poll(toTimespan(left), Poco::Net::Socket::SELECT_READ))
        return false;
    std::array<char, 4096> buffer {};
    const int count = m_socket->receiveBytes(buffer.data(), buffer.size());
    input.append(buffer.data(), static_cast<std::size_t>(std::max(count, 0)));
    return count > 0;
}

void soak_connection::run(const std::string& request, std::chrono::milliseconds bound, soak_call& call)
{
    const auto end = steady::now() + bound;
    bool staysOpen = false;
    try {
        m_socket->sendBytes(request.data(), static_cast<int>(request.size()));
        std::string input;
        response_head head;
        std::size_t length = 0;
        parse_state state = parse_state::Incomplete;
        while (state == parse_state::Incomplete && receive(end, input))
            state = parseResponseHead(input, mostHeadBytes, head, length);
        if (state == parse_state::Whole) {
            call.status = head.status;
            input.erase(0, length);
            auto decoder = body_decoder::ofResponse(head, false);
            while (decoder && decoder->feed(input, call.body) == body_decoder::state::Reading && receive(end, input)) { }
            call.isWhole = decoder && decoder->isWhole();
            staysOpen = call.isWhole && keepsConnection(head.minorVersion, head.fields);
        }
    } catch (const Poco::Exception&) {
        staysOpen = false; // Cut: the call stands without a whole answer.
    }
    if (!staysOpen)
        m_socket.reset();
}

} // namespace radishflow
