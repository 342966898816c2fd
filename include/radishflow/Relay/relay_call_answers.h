// Implements the part of relay_call that passes answers on.
#pragma once

#include <algorithm>
#include <chrono>
#include <utility>

namespace radishflow {

inline constexpr std::size_t mostWholeBytes = 16U << 20U; // Larger answers that are no streams aren't held in memory.
// Longest time in which a caller takes a part of its answer.
inline constexpr std::chrono::seconds callerSendTimeout { 10 };

template <relay_protocol Protocol>
typename relay_call<Protocol>::attempt_end relay_call<Protocol>::judgeAnswer(const listed_server& server, server_exchange& exchange, const answer_facts& facts)
{
    constexpr int firstServerError = 500;
    if (facts.load)
        m_parts.balancer.recordLoadReport(server.id, *facts.load);
    if (facts.isOtherServer) {
        m_parts.connections.drop(server.id);
        return fail(server, server_outcome::Unreachable, false, "other_server");
    }
    if (facts.isNotRun)
        return fail(server, server_outcome::Failed, false, "not_run");
    if (!facts.isSigned)
        return fail(server, server_outcome::Failed, true, "unsigned");
    if (exchange.head().status < firstServerError)
        return facts.isEventStream ? passEvents(server, exchange) : passWhole(server, exchange);
    server_failure failure { .head = exchange.head(), .body = {} };
    body_step step = body_step::Data;
    while (step == body_step::Data && failure.body.size() < mostWholeBytes)
        step = exchange.read(failure.body);
    if (step == body_step::CallerGone)
        return endOfFailure(server, step);
    if (step == body_step::Whole) {
        exchange.keep();
        m_failure = std::move(failure);
    }
    return fail(server, server_outcome::Failed, true, "server_error");
}

template <relay_protocol Protocol>
typename relay_call<Protocol>::attempt_end relay_call<Protocol>::passWhole(const listed_server& server, server_exchange& exchange)
{
    std::string body;
    body_step step = body_step::Data;
    while (step == body_step::Data && body.size() < mostWholeBytes)
        step = exchange.read(body);
    if (step != body_step::Whole)
        return endOfFailure(server, step);
    exchange.keep();
    m_parts.balancer.finishRequest(server.id, server_outcome::Served);
    note(server, "served");
    std::string text = writeAnswerHead(exchange.head(), body.size(), m_keepsOpen);
    if (m_message.head.method != "HEAD")
        text += body;
    if (!sendToCaller(text))
        return attempt_end::CallerGone;
    record(exchange.head().status, "served");
    m_isAnswered = true;
    return attempt_end::Finished;
}

template <relay_protocol Protocol>
typename relay_call<Protocol>::attempt_end relay_call<Protocol>::passEvents(const listed_server& server, server_exchange& exchange)
{
    std::string received;
    while (true) {
        const body_step step = exchange.read(received);
        std::string events;
        const bool isInOrder = m_events.feed(received, events);
        const bool isEnd = step == body_step::Whole && isInOrder && received.empty();
        if (!events.empty() || isEnd) {
            std::string text;
            if (!std::exchange(m_hasBegun, true))
                text = writeAnswerHead(exchange.head(), std::nullopt, m_keepsOpen);
            if (!events.empty())
                appendChunk(text, events);
            if (isEnd)
                text += lastChunk;
            if (!sendToCaller(text)) {
                m_parts.balancer.finishRequest(server.id, server_outcome::Abandoned);
                return attempt_end::CallerGone;
            }
        }
        if (isEnd) {
            exchange.keep();
            m_parts.balancer.finishRequest(server.id, server_outcome::Served);
            note(server, "served");
            record(exchange.head().status, "served");
            m_isAnswered = true;
            return attempt_end::Finished;
        }
        if (step != body_step::Data || !isInOrder)
            return endOfFailure(server, isInOrder && step != body_step::Whole ? step : body_step::Broken);
    }
}

template <relay_protocol Protocol>
typename relay_call<Protocol>::attempt_end relay_call<Protocol>::endOfFailure(const listed_server& server, body_step step)
{
    if (step != body_step::CallerGone)
        return fail(server, server_outcome::Failed, true, step == body_step::TimedOut ? "silent" : "broke_off");
    m_parts.balancer.finishRequest(server.id, server_outcome::Abandoned);
    note(server, "caller_gone");
    return attempt_end::CallerGone;
}

template <relay_protocol Protocol>
typename relay_call<Protocol>::attempt_end relay_call<Protocol>::fail(const listed_server& server, server_outcome outcome, bool mayHaveRun, const char* how)
{
    m_parts.balancer.finishRequest(server.id, outcome);
    note(server, how);
    ++(mayHaveRun ? m_history.mayHaveRun : m_history.notRun);
    return attempt_end::Failed;
}

// Ends the request with the best that is known: what a server said, or that it didn't run, or that it may have.
template <relay_protocol Protocol>
bool relay_call<Protocol>::giveUp()
{
    if (m_hasBegun) {
        // Without its last chunk, the caller sees that the stream is not whole.
        record(m_record.status, "stream_broken");
        return false;
    }
    if (!m_failure)
        return refuse(refusalAfter(m_history, now() >= m_deadline));
    const bool isSent = sendToCaller(writeAnswerHead(m_failure->head, m_failure->body.size(), m_keepsOpen) + m_failure->body);
    record(m_failure->head.status, "server_error");
    return isSent;
}

template <relay_protocol Protocol>
bool relay_call<Protocol>::refuse(const refusal& reason)
{
    const bool isSent = sendToCaller(writeRefusal(reason, m_request.id, m_keepsOpen));
    m_record.reason = reason.title;
    record(reason.status, reason.execution == execution_state::NotRun ? "refused" : "failed");
    return isSent;
}

template <relay_protocol Protocol>
bool relay_call<Protocol>::sendToCaller(std::string_view text)
{
    if (!m_record.firstBytes)
        m_record.firstBytes = now() - m_message.receivedAt;
    return m_caller.send(text, now() + callerSendTimeout) == io_outcome::Done;
}

template <relay_protocol Protocol>
void relay_call<Protocol>::note(const listed_server& server, const char* how)
{
    m_history.servers.push_back(server.id);
    if (!m_record.servers.empty())
        m_record.servers += ' ';
    m_record.servers += server.id.value() + ':' + how;
}

template <relay_protocol Protocol>
void relay_call<Protocol>::record(int status, const char* outcome)
{
    m_record.status = status;
    m_record.outcome = outcome;
    m_record.total = now() - m_message.receivedAt;
    m_parts.metrics.count(m_record);
    logRequest(m_record);
}

} // namespace radishflow
