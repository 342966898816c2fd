// Implements a caller's connection on the relay's own parsers.
#include "caller_connection.h"

#include "radishflow/Relay/body_decoder.h"
#include "radishflow/Relay/parse_head.h"
#include "radishflow/Support/timespan.h"

#include <Poco/Exception.h>

#include <algorithm>
#include <array>

namespace radishflow {

using steady = std::chrono::steady_clock;

static constexpr std::size_t mostHeadBytes = 8192;

bool caller_connection::open(const std::string& address)
{
    if (m_socket && m_address == address)
        return true;
    m_socket.reset();
    try {
        Poco::Net::StreamSocket socket;
        socket.connect(Poco::Net::SocketAddress { address }, Poco::Timespan { 1, 0 });
        m_socket = socket;
        m_address = address;
    } catch (const Poco::Exception&) {
        return false; // A daemon that is down is a case of its own; the caller counts a call without an answer.
    }
    return true;
}

// Returns false at the end of the connection and of the time.
bool caller_connection::receive(steady::time_point end, std::string& input)
{
    const auto left = std::chrono::duration_cast<std::chrono::microseconds>(end - steady::now());
    if (left.count() <= 0 || !m_socket->poll(toTimespan(left), Poco::Net::Socket::SELECT_READ))
        return false;
    std::array<char, 4096> buffer {};
    const int count = m_socket->receiveBytes(buffer.data(), buffer.size());
    input.append(buffer.data(), static_cast<std::size_t>(std::max(count, 0)));
    return count > 0;
}

caller_answer caller_connection::run(const std::string& request, std::chrono::milliseconds bound)
{
    const auto end = steady::now() + bound;
    caller_answer answer;
    bool staysOpen = false;
    try {
        m_socket->sendBytes(request.data(), static_cast<int>(request.size()));
        std::string input;
        response_head head;
        std::size_t length = 0;
        parse_state state = parse_state::Incomplete;
        while (state == parse_state::Incomplete && receive(end, input))
            state = parseResponseHead(input, mostHeadBytes, head, length);
        if (state == parse_state::Complete) {
            answer.status = head.status;
            input.erase(0, length);
            auto decoder = body_decoder::forResponse(head, false);
            while (decoder && decoder->feed(input, answer.body) == body_decoder::state::Reading && receive(end, input)) { }
            answer.isWhole = decoder && decoder->isComplete();
            staysOpen = answer.isWhole && keepsConnection(head.minorVersion, head.fields);
        }
    } catch (const Poco::Exception&) {
        staysOpen = false; // Cut: the answer stands as far as it came.
    }
    if (!staysOpen)
        m_socket.reset();
    return answer;
}

} // namespace radishflow
