// Implements the part of relay_call that forwards responses to the caller.
#pragma once

#include <algorithm>
#include <chrono>
#include <utility>

namespace radishflow {

inline constexpr std::size_t maxBufferedBytes = 16U << 20U; // Limit on the body of a response that is not a stream.
inline constexpr std::size_t maxEventBytes = 1U << 20U; // Events are held in memory until they are complete.
// Maximum time to send one part of a response to the caller.
inline constexpr std::chrono::seconds callerSendTimeout { 10 };

template <relay_protocol Protocol>
typename relay_call<Protocol>::attempt_result relay_call<Protocol>::handleResponse(const listed_server& server, server_exchange& exchange, const response_metadata& metadata)
{
    constexpr int firstServerError = 500;
    if (metadata.load)
        m_context.balancer.recordLoadReport(server.id, *metadata.load);
    if (metadata.isLeaving && !metadata.isMisdirected)
        recordLeaving(server);
    if (!metadata.isMisdirected)
        m_context.balancer.recordLimit(server, metadata.requestsPerSecond);
    if (metadata.isMisdirected) {
        m_context.connections.closeAll(server.id);
        return recordFailure(server, server_outcome::Unreachable, false, "other_server");
    }
    if (metadata.retryAfter)
        m_context.balancer.recordPause(server, *metadata.retryAfter);
    if (metadata.isNotRun) {
        m_context.balancer.recordFull(server, m_admitted.target->objective);
        return recordFailure(server, server_outcome::Failed, false, "not_run");
    }
    if (!metadata.isSigned)
        return recordFailure(server, server_outcome::Failed, true, "unsigned");
    if (m_hasResponseStarted && !continuesStream(exchange.head(), metadata))
        return recordFailure(server, server_outcome::Failed, true, notAStreamResult);
    if (exchange.head().status < firstServerError)
        return metadata.isEventStream ? forwardEvents(server, exchange) : forwardResponse(server, exchange);
    server_error_response failure { .head = exchange.head(), .body = { .bytes = {}, .memory = reserveFor(server) } };
    const body_read_result bodyResult = readWholeBody(exchange, failure.body);
    if (bodyResult != body_read_result::Complete)
        return handleBodyFailure(server, bodyResult);
    exchange.releaseConnection();
    m_serverError = std::move(failure);
    recordForRollout(server, true);
    return recordFailure(server, server_outcome::Failed, true, "server_error");
}

// A response that another daemon passes on counts for the server that sent it.
template <relay_protocol Protocol>
response_reservation relay_call<Protocol>::reserveFor(const listed_server& server) const
{
    return { m_context.bufferedResponses, m_respondingServer.empty() ? server.id : m_respondingServer };
}

template <relay_protocol Protocol>
body_read_result relay_call<Protocol>::readWholeBody(server_exchange& exchange, buffered_body& body)
{
    const std::uint64_t expected = exchange.remainingBytes();
    if (expected > maxBufferedBytes || !body.memory.tryGrow(expected))
        return body_read_result::Broken;
    body.bytes.reserve(expected);
    body_read_result bodyResult = body_read_result::Data;
    while (bodyResult == body_read_result::Data) {
        bodyResult = exchange.read(body.bytes);
        if (body.bytes.size() > maxBufferedBytes || !body.memory.tryGrow(body.bytes.capacity()))
            return body_read_result::Broken;
        if (!body.bytes.empty())
            recordProgress(exchange);
    }
    return bodyResult;
}

template <relay_protocol Protocol>
typename relay_call<Protocol>::attempt_result relay_call<Protocol>::forwardResponse(const listed_server& server, server_exchange& exchange)
{
    buffered_body body { .bytes = {}, .memory = reserveFor(server) };
    const std::uint64_t expected = exchange.remainingBytes();
    if (expected <= maxBufferedBytes && !body.memory.tryGrow(expected))
        return forwardUnbuffered(server, exchange);
    const body_read_result bodyResult = readWholeBody(exchange, body);
    if (bodyResult != body_read_result::Complete)
        return handleBodyFailure(server, bodyResult);
    exchange.releaseConnection();
    recordForRollout(server, false);
    finishAttempt(server, server_outcome::Served);
    recordAttempt(server, "served");
    const bool isSent = sendToCaller(writeResponseHead(exchange.head(), body.bytes.size(), m_keepsOpen, forwardedFields()), body.bytes);
    return finishResponse(server, exchange, isSent);
}

// A server that breaks off the body leaves the caller with an incomplete response, which its length shows, so the request is not resent.
template <relay_protocol Protocol>
typename relay_call<Protocol>::attempt_result relay_call<Protocol>::forwardUnbuffered(const listed_server& server, server_exchange& exchange)
{
    std::string part = writeResponseHead(exchange.head(), exchange.remainingBytes(), m_keepsOpen, forwardedFields());
    m_hasResponseStarted = true;
    m_isFinal = true;
    body_read_result bodyResult = body_read_result::Data;
    while (bodyResult == body_read_result::Data) {
        bodyResult = exchange.read(part);
        recordProgress(exchange);
        if (!sendToCaller(part)) {
            recordAbandoned(server);
            finishAttempt(server, server_outcome::Abandoned);
            recordAttempt(server, "caller_gone");
            return attempt_result::CallerGone;
        }
        part.clear();
    }
    if (bodyResult != body_read_result::Complete)
        return handleBodyFailure(server, bodyResult);
    exchange.releaseConnection();
    finishAttempt(server, server_outcome::Served);
    recordAttempt(server, "served");
    return finishResponse(server, exchange, true);
}

template <relay_protocol Protocol>
typename relay_call<Protocol>::attempt_result relay_call<Protocol>::finishResponse(const listed_server& server, const server_exchange& exchange, bool isSent)
{
    recordCompletion(server, exchange);
    if (!isSent)
        return attempt_result::CallerGone;
    recordOutcome(exchange.head().status, "served");
    m_context.responseTimes.record(m_admitted.target->name, m_record.total);
    m_isResponseComplete = true;
    return attempt_result::Finished;
}

// A body that ends with its connection may also end because the server crashed.
template <relay_protocol Protocol>
void relay_call<Protocol>::recordCompletion(const listed_server& server, const server_exchange& exchange)
{
    if (m_peer)
        return;
    constexpr int firstUnsuccessfulStatus = 300;
    if (exchange.head().status >= firstUnsuccessfulStatus) {
        // The server may have refused the request before it read the prompt.
        m_context.crashes.recordServed({ .content = m_identity.content, .variant = m_identity.variant });
        return;
    }
    if (!exchange.endsWithConnection()) {
        m_context.crashes.recordServed(m_identity);
        return;
    }
    if (!m_identity.variant && !m_context.crashes.hasSuspectParts(m_identity)) {
        recordAbandoned(server);
        return;
    }
    switch (probe(server)) {
    case io_outcome::Done:
        return m_context.crashes.recordServed(m_identity);
    case io_outcome::Broken:
        recordAbandoned(server);
        return suspectCrash(server);
    default:
        return recordAbandoned(server);
    }
}

template <relay_protocol Protocol>
typename relay_call<Protocol>::attempt_result relay_call<Protocol>::forwardEvents(const listed_server& server, server_exchange& exchange)
{
    buffered_body body { .bytes = {}, .memory = reserveFor(server) };
    std::string& received = body.bytes;
    while (true) {
        const body_read_result bodyResult = exchange.read(received);
        const bool hasRoom = body.memory.tryGrow(received.capacity());
        std::string events;
        const bool isInOrder = m_eventSplitter.feed(received, events);
        const bool isEnd = bodyResult == body_read_result::Complete && isInOrder && received.empty();
        if (!events.empty())
            recordProgress(exchange);
        if (!events.empty() || isEnd) {
            std::string text;
            if (!std::exchange(m_hasResponseStarted, true)) {
                recordOrigin(server);
                text = writeResponseHead(exchange.head(), std::nullopt, m_keepsOpen, forwardedFields());
            }
            if (!events.empty())
                appendChunk(text, events);
            if (isEnd)
                text += lastChunk;
            // A large event is held once while the caller reads it.
            if (received.capacity() > response_reservation::uncountedBytes) {
                received.shrink_to_fit();
                std::string {}.swap(events);
            }
            const bool isSent = sendToCaller(text);
            body.memory.shrinkTo(received.capacity());
            if (!isSent) {
                recordAbandoned(server);
                finishAttempt(server, server_outcome::Abandoned);
                return attempt_result::CallerGone;
            }
        }
        if (isEnd) {
            exchange.releaseConnection();
            recordForRollout(server, false);
            finishAttempt(server, server_outcome::Served);
            recordAttempt(server, "served");
            recordCompletion(server, exchange);
            recordOutcome(exchange.head().status, "served");
            m_isResponseComplete = true;
            return attempt_result::Finished;
        }
        if (bodyResult != body_read_result::Data || !isInOrder || !hasRoom || received.size() > maxEventBytes)
            return handleBodyFailure(server, isInOrder && (bodyResult == body_read_result::TimedOut || bodyResult == body_read_result::CallerGone) ? bodyResult : body_read_result::Broken);
    }
}

template <relay_protocol Protocol>
typename relay_call<Protocol>::attempt_result relay_call<Protocol>::handleBodyFailure(const listed_server& server, body_read_result bodyResult)
{
    if (bodyResult == body_read_result::Broken)
        recordIfCrashed(server);
    else
        recordAbandoned(server);
    if (bodyResult != body_read_result::CallerGone)
        return recordFailure(server, server_outcome::Failed, true, bodyResult == body_read_result::TimedOut ? "silent" : "broke_off");
    finishAttempt(server, server_outcome::Abandoned);
    recordAttempt(server, "caller_gone");
    return attempt_result::CallerGone;
}

template <relay_protocol Protocol>
typename relay_call<Protocol>::attempt_result relay_call<Protocol>::recordFailure(const listed_server& server, server_outcome outcome, bool mayHaveRun, const char* result)
{
    if (m_slot && !mayHaveRun)
        m_slot->recordNotRun();
    finishAttempt(server, outcome);
    recordAttempt(server, result);
    ++(mayHaveRun ? m_history.mayHaveRun : m_history.notRun);
    return attempt_result::Failed;
}

// Ends a request for which no attempt succeeded: forwards the last error response of a server, or else sends a refusal that
// states whether the request may have run.
template <relay_protocol Protocol>
bool relay_call<Protocol>::sendFailure()
{
    if (m_hasResponseStarted) {
        // The missing last chunk lets the caller detect that the stream is incomplete.
        recordOutcome(m_record.status, "stream_broken");
        return false;
    }
    if (!m_serverError) {
        refusal reason = refusalForAttempts(m_history, now() >= m_deadline);
        const auto pause = m_servers && reason.execution == execution_state::NotRun ? m_context.balancer.timeToFirstServer(*m_servers, queryFor(*m_fleet)) : std::nullopt;
        if (pause)
            reason.retryAfter = std::chrono::ceil<std::chrono::milliseconds>(*pause);
        if (m_slotRetryAfter && reason.execution == execution_state::NotRun) {
            reason.title = "No slot in time";
            reason.detail = "all slots of the service are in use, and too many requests wait for them";
            reason.retryAfter = std::chrono::ceil<std::chrono::milliseconds>(*m_slotRetryAfter);
        }
        if (m_peerRetryAfter && reason.execution == execution_state::NotRun)
            reason.retryAfter = *m_peerRetryAfter;
        const refusal_scope scope = m_slotRetryAfter ? refusal_scope::Slots : refusal_scope::Capacity;
        return refuse(reason, reason.execution == execution_state::NotRun ? scope : refusal_scope::Request);
    }
    const std::string& body = m_serverError->body.bytes;
    const bool isSent = sendToCaller(writeResponseHead(m_serverError->head, body.size(), m_keepsOpen, forwardedFields()), body);
    recordOutcome(m_serverError->head.status, m_serverError->outcome);
    return isSent;
}

template <relay_protocol Protocol>
bool relay_call<Protocol>::refuse(const refusal& reason, refusal_scope scope)
{
    const std::string fields = m_forwarded ? writeForwardedFields({ .request = m_request.id, .execution = reason.execution, .scope = scope }) : std::string {};
    const bool isSent = sendToCaller(writeRefusal(reason, m_request.id, m_keepsOpen, fields));
    m_record.reason = reason.title;
    recordOutcome(reason.status, reason.execution == execution_state::NotRun ? "refused" : "failed");
    return isSent;
}

template <relay_protocol Protocol>
bool relay_call<Protocol>::sendToCaller(std::string_view text)
{
    if (!m_record.firstBytes)
        m_record.firstBytes = now() - m_message.receivedAt;
    return m_caller.send(text, now() + callerSendTimeout) == io_outcome::Done;
}

// A large body is not copied, as a daemon has memory for few of them.
template <relay_protocol Protocol>
bool relay_call<Protocol>::sendToCaller(std::string head, const std::string& body)
{
    constexpr std::size_t maxJoinedBytes = 16384;
    if (m_message.head.method == "HEAD")
        return sendToCaller(head);
    if (body.size() <= maxJoinedBytes)
        return sendToCaller(head.append(body));
    return sendToCaller(head) && m_caller.send(body, std::max<time_point>(m_deadline, now() + callerSendTimeout)) == io_outcome::Done;
}

template <relay_protocol Protocol>
void relay_call<Protocol>::recordAttempt(const listed_server& server, const char* result)
{
    if (!m_record.servers.empty())
        m_record.servers += ' ';
    if (m_peer) {
        m_record.servers += "via-" + m_peer->id.value() + ':' + m_respondingServer.value() + ':' + result;
        return;
    }
    m_history.servers.push_back(server.id);
    if (std::string_view { result } != unreachableResult && std::string_view { result } != unidentifiedResult)
        m_history.contactedServers.push_back(server.id);
    m_record.servers += server.id.value() + ':' + server.version.value() + ':' + result;
}

template <relay_protocol Protocol>
void relay_call<Protocol>::recordOutcome(int status, const char* outcome)
{
    m_record.status = status;
    m_record.outcome = outcome;
    m_record.total = now() - m_message.receivedAt;
    m_context.metrics.count(m_record);
    logRequest(m_record);
}

} // namespace radishflow
