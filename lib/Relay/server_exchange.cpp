// Implements one request at one backend server.
#include "radishflow/Relay/server_exchange.h"

#include "radishflow/Relay/parse_head.h"
#include "radishflow/Support/boottime_clock.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <utility>

namespace radishflow {

static constexpr std::size_t mostHeadBytes = 65536;
// How long a connection is kept where the server doesn't state its idle timeout.
static constexpr std::chrono::seconds defaultIdleTime { 4 };

// Returns how long the server keeps an idle connection, less a part so that both ends don't race.
static duration idleTimeOf(const response_head& head)
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

server_exchange::server_exchange(server_connections& connections, const exchange_options& options)
    : m_connections(connections)
    , m_options(options)
{
}

server_exchange::~server_exchange()
{
    if (m_socket.isOpen())
        m_socket.close();
}

exchange_state server_exchange::stateOf(io_outcome outcome)
{
    if (outcome == io_outcome::CallerGone)
        return exchange_state::CallerGone;
    return outcome == io_outcome::TimedOut ? exchange_state::TimedOut : exchange_state::MayHaveRun;
}

exchange_state server_exchange::open()
{
    const time_point now = boottime_clock {}.now();
    if (auto idle = m_connections.take(m_options.server.id, now, m_options.mostIdle)) {
        m_socket = std::move(*idle);
        m_isReused = true;
        return exchange_state::Answered;
    }
    const time_point deadline = std::min(m_options.deadline, now + m_options.connectTimeout);
    const io_outcome outcome = relay_socket::connect(m_options.server.address, deadline, &m_options.caller, m_socket);
    if (outcome == io_outcome::CallerGone)
        return exchange_state::CallerGone;
    return outcome == io_outcome::Done ? exchange_state::Answered : exchange_state::NotSent;
}

exchange_state server_exchange::start(std::string_view head, std::string_view body, std::function<bool(const response_head&)> isForRequest)
{
    m_isForRequest = std::move(isForRequest);
    const exchange_state opened = open();
    if (opened != exchange_state::Answered)
        return opened;
    std::string message;
    message.reserve(head.size() + body.size());
    message.append(head).append(body);
    std::size_t sent = 0;
    const io_outcome outcome = m_socket.send(message, m_options.deadline, &m_options.caller, &sent);
    m_isWholeSent = sent == message.size();
    // A server may refuse before it has read everything; its answer may stand in the socket although the send broke.
    if (outcome != io_outcome::Done && outcome != io_outcome::Broken)
        return stateOf(outcome);
    return readOwnHead();
}

exchange_state server_exchange::awaitHead(time_point deadline)
{
    m_options.headDeadline = deadline;
    return readOwnHead();
}

exchange_state server_exchange::readOwnHead()
{
    while (true) {
        const exchange_state state = readHead();
        if (state != exchange_state::Answered || m_isForRequest(m_head))
            return state;
        const exchange_state skipped = skipAnswer();
        if (skipped != exchange_state::Answered)
            return skipped;
    }
}

exchange_state server_exchange::readHead()
{
    constexpr int firstFinalStatus = 200;
    while (true) {
        std::size_t length = 0;
        const parse_state parsed = parseResponseHead(m_socket.input(), mostHeadBytes, m_head, length);
        if (parsed == parse_state::Whole) {
            m_socket.input().erase(0, length);
            if (m_head.status < firstFinalStatus)
                continue;
            m_decoder = body_decoder::ofResponse(m_head, m_options.isHeadOnly);
            return m_decoder ? exchange_state::Answered : exchange_state::MayHaveRun;
        }
        if (parsed != parse_state::Incomplete)
            return exchange_state::MayHaveRun;
        const io_outcome outcome = m_socket.fill(m_options.headDeadline, &m_options.caller);
        if (outcome != io_outcome::Done)
            return stateOf(outcome);
    }
}

exchange_state server_exchange::skipAnswer()
{
    m_isSpoiled = true;
    std::string dropped;
    while (true) {
        switch (read(dropped)) {
        case body_step::Data:
            dropped.clear();
            continue;
        case body_step::Whole:
            return exchange_state::Answered;
        case body_step::TimedOut:
            return exchange_state::TimedOut;
        case body_step::CallerGone:
            return exchange_state::CallerGone;
        case body_step::Broken:
            return exchange_state::MayHaveRun;
        }
    }
}

body_step server_exchange::read(std::string& output)
{
    const std::size_t before = output.size();
    while (true) {
        const body_decoder::state state = m_decoder->feed(m_socket.input(), output);
        if (state == body_decoder::state::Whole)
            return body_step::Whole;
        if (state == body_decoder::state::Malformed)
            return body_step::Broken;
        if (output.size() > before)
            return body_step::Data;
        switch (m_socket.fill(m_options.deadline, &m_options.caller)) {
        case io_outcome::Done:
            continue;
        case io_outcome::Ended:
            return m_decoder->endsWithConnection() ? body_step::Whole : body_step::Broken;
        case io_outcome::Broken:
            return body_step::Broken;
        case io_outcome::TimedOut:
            return body_step::TimedOut;
        case io_outcome::CallerGone:
            return body_step::CallerGone;
        }
    }
}

void server_exchange::keep()
{
    const bool isClean = m_decoder && m_decoder->isWhole() && m_isWholeSent && !m_isSpoiled && m_socket.isQuiet();
    if (!isClean || !keepsConnection(m_head.minorVersion, m_head.fields))
        return;
    const time_point now = boottime_clock {}.now();
    m_connections.put(m_options.server.id, std::exchange(m_socket, relay_socket {}), now, idleTimeOf(m_head), m_options.mostKept);
}

} // namespace radishflow
