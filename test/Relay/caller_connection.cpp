// Implements caller_connection on the relay's own parsers.
#include "caller_connection.h"

#include "radishflow/Requests/body_decoder.h"
#include "radishflow/Requests/parse_head.h"
#include "radishflow/Support/timespan.h"

#include <Poco/Exception.h>

#include <algorithm>
#include <array>

namespace radishflow {

using steady = std::chrono::steady_clock;

static constexpr std::size_t maxHeadBytes = 8192;

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
        return false; // Tests stop daemons on purpose, so this isn't an error; the caller records a call without a response.
    }
    return true;
}

// Returns false when the peer has closed the connection or the deadline has passed.
bool caller_connection::receive(steady::time_point deadline, std::string& input)
{
    const auto left = std::chrono::duration_cast<std::chrono::microseconds>(deadline - steady::now());
    if (left.count() <= 0 || !m_socket->poll(toTimespan(left), Poco::Net::Socket::SELECT_READ))
        return false;
    std::array<char, 4096> buffer {};
    const int count = m_socket->receiveBytes(buffer.data(), buffer.size());
    input.append(buffer.data(), static_cast<std::size_t>(std::max(count, 0)));
    return count > 0;
}

bool caller_connection::send(const std::string& text)
{
    try {
        for (std::size_t sent = 0; sent < text.size();)
            sent += static_cast<std::size_t>(m_socket->sendBytes(text.data() + sent, static_cast<int>(text.size() - sent)));
    } catch (const Poco::Exception&) {
        return false; // The daemon may have ended; the caller reads what it has sent before.
    }
    return true;
}

received_response caller_connection::run(const std::string& request, std::chrono::milliseconds timeout)
{
    const auto deadline = steady::now() + timeout;
    received_response response;
    bool staysOpen = false;
    try {
        send(request);
        std::string input;
        response_head head;
        std::size_t length = 0;
        parse_state state = parse_state::Incomplete;
        while (state == parse_state::Incomplete && receive(deadline, input))
            state = parseResponseHead(input, maxHeadBytes, head, length);
        if (state == parse_state::Complete) {
            response.status = head.status;
            input.erase(0, length);
            auto decoder = body_decoder::forResponse(head, false);
            while (decoder && decoder->feed(input, response.body) == body_decoder::state::Reading && receive(deadline, input)) { }
            response.isComplete = decoder && decoder->isComplete();
            staysOpen = response.isComplete && keepsConnection(head.minorVersion, head.fields);
        }
    } catch (const Poco::Exception&) {
        staysOpen = false; // The connection broke; the part received so far is returned.
    }
    if (!staysOpen)
        m_socket.reset();
    return response;
}

} // namespace radishflow
