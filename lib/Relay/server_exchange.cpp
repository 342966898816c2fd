// Implements the exchange of one request and its response with one backend server.
#include "radishflow/Relay/server_exchange.h"

#include "radishflow/Requests/parse_head.h"
#include "radishflow/Support/boottime_clock.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <utility>

namespace radishflow {

static constexpr std::size_t maxHeadBytes = 65536;
static constexpr std::size_t maxJoinedBytes = 16384; // Of a body that is sent together with the head.
static constexpr int maxInterimResponses = 16;
// Of responses to earlier requests, which a connection holds at most a few of.
static constexpr int maxForeignResponses = 16;
static constexpr std::size_t maxForeignBytes = 1U << 20U; // Of each body.
// Time for which a connection is pooled if the server does not state its idle timeout.
static constexpr std::chrono::seconds defaultIdleTime { 4 };

// Returns the time for which an idle connection may be reused: 70 % of the idle timeout that the server states, so that a
// request is not sent while the server closes the connection.
static duration keepAliveTimeOf(const response_head& head)
{
    constexpr std::string_view field = "timeout=";
    const std::string* keepAlive = head.fields.find("Keep-Alive");
    const auto at = keepAlive ? keepAlive->find(field) : std::string::npos;
    if (at == std::string::npos)
        return defaultIdleTime;
    int seconds = 0;
    const char* begin = keepAlive->data() + at + field.size();
    if (std::from_chars(begin, keepAlive->data() + keepAlive->size(), seconds).ec != std::errc {})
        return defaultIdleTime;
    return std::chrono::milliseconds { seconds * 700 };
}

server_exchange::server_exchange(server_connection_pool& connections, const exchange_options& options)
    : m_connections(connections)
    , m_options(options)
{
}

server_exchange::~server_exchange()
{
    if (m_socket.isOpen())
        m_socket.close();
}

exchange_state server_exchange::exchangeStateOf(io_outcome outcome)
{
    if (outcome == io_outcome::CallerGone)
        return exchange_state::CallerGone;
    return outcome == io_outcome::TimedOut ? exchange_state::TimedOut : exchange_state::MayHaveRun;
}

exchange_state server_exchange::open()
{
    const time_point now = boottime_clock {}.now();
    if (auto idle = m_connections.acquire(m_options.server.id, now, m_options.maxIdleTime)) {
        m_socket = std::move(*idle);
        m_socket.setMaxSilence(m_options.maxSilence);
        m_isReused = true;
        return exchange_state::Succeeded;
    }
    const time_point deadline = std::min(m_options.deadline, now + m_options.connectTimeout);
    const io_outcome outcome = relay_socket::connect(m_options.server.address, deadline, &m_options.caller, m_socket);
    if (outcome == io_outcome::CallerGone)
        return exchange_state::CallerGone;
    if (outcome == io_outcome::Done)
        m_socket.setMaxSilence(m_options.maxSilence);
    if (outcome == io_outcome::Done && m_options.access)
        m_options.access->recordConnected();
    return outcome == io_outcome::Done ? exchange_state::Succeeded : exchange_state::NotSent;
}

io_outcome server_exchange::receive(time_point deadline)
{
    const io_outcome outcome = m_socket.receive(deadline, &m_options.caller);
    if (outcome == io_outcome::Done && m_options.access)
        m_options.access->recordContact();
    return outcome;
}

exchange_state server_exchange::start(std::string_view head, std::string_view body, std::function<bool(const response_head&)> belongsToRequest)
{
    m_belongsToRequest = std::move(belongsToRequest);
    const exchange_state opened = open();
    if (opened != exchange_state::Succeeded)
        return opened;
    // A large body is not copied, as a daemon has memory for few of them.
    std::string first { head };
    if (body.size() <= maxJoinedBytes)
        first.append(std::exchange(body, {}));
    std::size_t sent = 0;
    io_outcome outcome = m_socket.send(first, m_options.deadline, &m_options.caller, &sent);
    m_isRequestSent = sent == first.size();
    if (outcome == io_outcome::Done && m_isRequestSent && !body.empty()) {
        outcome = m_socket.send(body, m_options.deadline, &m_options.caller, &sent);
        m_isRequestSent = sent == body.size();
    }
    // A server may refuse a request before it has read all of it, so a response may be available even if sending failed.
    if (outcome != io_outcome::Done && outcome != io_outcome::Broken)
        return exchangeStateOf(outcome);
    return readMatchingHead();
}

exchange_state server_exchange::awaitHead(time_point deadline)
{
    m_options.headDeadline = deadline;
    return readMatchingHead();
}

exchange_state server_exchange::readMatchingHead()
{
    while (true) {
        const exchange_state state = readHead();
        if (state != exchange_state::Succeeded || m_belongsToRequest(m_head))
            return state;
        const exchange_state discarded = discardResponse();
        if (discarded != exchange_state::Succeeded)
            return discarded;
    }
}

exchange_state server_exchange::readHead()
{
    constexpr int firstFinalStatus = 200;
    while (true) {
        std::size_t length = 0;
        const parse_state parsed = parseResponseHead(m_socket.input(), maxHeadBytes, m_head, length);
        if (parsed == parse_state::Complete) {
            m_socket.input().erase(0, length);
            if (m_head.status < firstFinalStatus && ++m_interimResponses <= maxInterimResponses)
                continue;
            if (m_head.status < firstFinalStatus)
                return exchange_state::MayHaveRun;
            m_decoder = body_decoder::forResponse(m_head, m_options.isHeadOnly);
            return m_decoder ? exchange_state::Succeeded : exchange_state::MayHaveRun;
        }
        if (parsed != parse_state::Incomplete)
            return exchange_state::MayHaveRun;
        const io_outcome outcome = receive(m_options.headDeadline);
        if (outcome != io_outcome::Done)
            return exchangeStateOf(outcome);
    }
}

exchange_state server_exchange::discardResponse()
{
    m_hasForeignBytes = true;
    if (++m_foreignResponses > maxForeignResponses)
        return exchange_state::MayHaveRun;
    std::string dropped;
    std::size_t droppedBytes = 0;
    while (true) {
        switch (read(dropped)) {
        case body_read_result::Data:
            droppedBytes += dropped.size();
            if (droppedBytes > maxForeignBytes)
                return exchange_state::MayHaveRun;
            dropped.clear();
            continue;
        case body_read_result::Complete:
            return exchange_state::Succeeded;
        case body_read_result::TimedOut:
            return exchange_state::TimedOut;
        case body_read_result::CallerGone:
            return exchange_state::CallerGone;
        case body_read_result::Broken:
            return exchange_state::MayHaveRun;
        }
    }
}

body_read_result server_exchange::read(std::string& output)
{
    const std::size_t before = output.size();
    while (true) {
        const body_decoder::state state = m_decoder->feed(m_socket.input(), output);
        if (state == body_decoder::state::Complete)
            return body_read_result::Complete;
        if (state == body_decoder::state::Malformed)
            return body_read_result::Broken;
        if (output.size() > before)
            return body_read_result::Data;
        switch (receive(m_options.deadline)) {
        case io_outcome::Done:
            continue;
        case io_outcome::Ended:
            return m_decoder->endsWithConnection() ? body_read_result::Complete : body_read_result::Broken;
        case io_outcome::Broken:
            return body_read_result::Broken;
        case io_outcome::TimedOut:
            return body_read_result::TimedOut;
        case io_outcome::CallerGone:
            return body_read_result::CallerGone;
        }
    }
}

void server_exchange::releaseConnection()
{
    const bool isClean = m_decoder && m_decoder->isComplete() && m_isRequestSent && !m_hasForeignBytes && m_socket.isIdle();
    if (!isClean || !keepsConnection(m_head.minorVersion, m_head.fields))
        return;
    const time_point now = boottime_clock {}.now();
    m_connections.release(m_options.server.id, std::exchange(m_socket, relay_socket {}), now, keepAliveTimeOf(m_head), m_options.maxIdleConnections);
}

} // namespace radishflow
