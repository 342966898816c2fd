// Implements one request with its tries at one backend server.
#include "backend_exchange.h"

#include "radishflow/Support/boottime_clock.h"
#include "radishflow/Support/timespan.h"

#include "event_reader.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/StreamSocket.h>

#include <algorithm>

namespace radishflow {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// POCO takes a time of 0 for no bound.
static Poco::Timespan boundOf(milliseconds time)
{
    return toTimespan(std::max(time, milliseconds { 1 }));
}

backend_exchange::backend_exchange(const backend_client_options& options, const request_submission& submission, const write_gate& gate, answer_buffer& answer)
    : m_options(options)
    , m_submission(submission)
    , m_gate(gate)
    , m_answer(answer)
    , m_started(boottime_clock {}.now())
    , m_lastEvent(submission.resumeAfter)
{
}

milliseconds backend_exchange::timeLeft() const
{
    return m_submission.timeLeft - duration_cast<milliseconds>(boottime_clock {}.now() - m_started);
}

// The connection is made before the session: POCO's session connects and sends in one call and doesn't say
// at which of them it failed, while "not run" is true only if no connection was ever made.
std::unique_ptr<Poco::Net::HTTPClientSession> backend_exchange::openSession() const
{
    Poco::Net::StreamSocket socket;
    socket.connect(Poco::Net::SocketAddress { m_submission.server.value() }, boundOf(m_options.connectTimeout));
    socket.setNoDelay(true);
    socket.setSendTimeout(boundOf(m_options.silenceLimit));
    socket.setReceiveTimeout(boundOf(std::min(m_options.silenceLimit, timeLeft())));
    auto session = std::make_unique<Poco::Net::HTTPClientSession>(socket);
    session->setKeepAlive(true);
    return session;
}

// Only a request of which nothing was sent may be called "not run"; everything later is unknown.
void backend_exchange::breakOff(const char* title, const std::string& detail)
{
    const bool isNotRun = !m_outcome.wasSent;
    m_answer.breakOff({
        .status = timeLeft().count() <= 0 ? 504 : 502,
        .title = title,
        .detail = "server " + m_submission.server.value() + ": " + detail,
        .execution = isNotRun ? execution_state::NotRun : execution_state::Unknown,
        .retryAfter = milliseconds { 1000 },
        .tryNextServer = isNotRun,
    });
}

void backend_exchange::sendRequest(Poco::Net::HTTPClientSession& session, term_number term) const
{
    Poco::Net::HTTPRequest request { m_submission.method, m_submission.path, Poco::Net::HTTPMessage::HTTP_1_1 };
    request.setHost(m_submission.server.value());
    request.setKeepAlive(false);
    request.setContentLength64(static_cast<Poco::Int64>(m_submission.body.size()));
    if (!m_submission.contentType.empty())
        request.setContentType(m_submission.contentType);
    request.set("X-Request-Id", m_submission.request.value());
    request.set("X-Fencing-Term", std::to_string(term.value()));
    request.set("Priority", "u=" + std::to_string(m_submission.priority));
    if (!m_submission.key.empty())
        request.set("Idempotency-Key", m_submission.key.value());
    if (!m_submission.prefix.empty())
        request.set("X-Chat-Prefix", m_submission.prefix);
    if (m_lastEvent > 0)
        request.set("Last-Event-ID", std::to_string(m_lastEvent));
    session.sendRequest(request) << m_submission.body << std::flush;
}

void backend_exchange::beginOnce(const response_stream& response, const response_head& head)
{
    if (m_hasBegun)
        return;
    m_hasBegun = true;
    m_gate.firstByte(duration_cast<milliseconds>(boottime_clock {}.now() - m_started));
    m_answer.begin(head.status, response.fieldOf("Content-Type"));
}

// Events that were seen already, or that jump ahead, would splice two generations; such a stream is cut.
backend_exchange::step backend_exchange::copyEvents(response_stream& response, const response_head& head)
{
    event_reader reader { response.body() };
    stream_event event;
    while (reader.next(event)) {
        if (timeLeft().count() <= 0) {
            breakOff("Deadline passed", "the answer took longer than the request's time");
            cancelAtServer();
            return step::Ended;
        }
        if (event.number != 0 && event.number != m_lastEvent + 1) {
            breakOff("Answer broken", "event " + std::to_string(event.number) + " follows event " + std::to_string(m_lastEvent));
            cancelAtServer();
            return step::Ended;
        }
        beginOnce(response, head);
        if (!m_answer.append(event.text, m_options.slowReaderLimit)) {
            breakOff("Caller gone", "nobody reads the answer");
            cancelAtServer();
            return step::Ended;
        }
        m_lastEvent = std::max(m_lastEvent, event.number);
        if (event.isLast) {
            m_outcome.isWhole = true;
            m_answer.finish();
            return step::Ended;
        }
    }
    return step::Cut;
}

backend_exchange::step backend_exchange::copyPlain(response_stream& response, const response_head& head)
{
    std::istream& in = response.body();
    std::string body;
    char buffer[8192];
    while (in.read(buffer, sizeof buffer) || in.gcount() > 0) {
        body.append(buffer, static_cast<std::size_t>(in.gcount()));
        if (body.size() > m_options.plainAnswerLimitBytes) {
            breakOff("Answer too large", "more than " + std::to_string(m_options.plainAnswerLimitBytes) + " bytes");
            return step::Ended;
        }
    }
    if (!response.isComplete()) {
        noteReset();
        breakOff("Answer cut short", std::to_string(body.size()) + " bytes arrived");
        return step::Ended;
    }
    beginOnce(response, head);
    m_outcome.isWhole = m_answer.append(body, m_options.slowReaderLimit);
    m_answer.finish();
    return step::Ended;
}

backend_exchange::step backend_exchange::copyAnswer(Poco::Net::HTTPClientSession& session)
{
    constexpr int ok = 200;
    constexpr int notFound = 404;
    response_stream response { session };
    const response_head& head = response.readHead();
    if (head.status == ok && response.fieldOf("Content-Type").starts_with("text/event-stream"))
        return copyEvents(response, head);
    if (m_submission.resumeAfter > 0 && head.status == notFound) {
        m_answer.breakOff({ .status = 410, .title = "Generation gone", .detail = "the server no longer has this stream; send the request anew", .execution = execution_state::Unknown });
        return step::Ended;
    }
    // A resumed stream that the server no longer has can't go on as another kind of answer.
    if (m_hasBegun) {
        breakOff("Answer lost", "the server no longer has this stream");
        return step::Ended;
    }
    return copyPlain(response, head);
}

// The check is the last step before the write: between the two, only the window that successors leave free
// may be outstanding, however long this thread is paused.
backend_exchange::step backend_exchange::tryThroughGate(Poco::Net::HTTPClientSession& session)
{
    const auto admission = m_gate.acquire();
    if (const auto* reason = std::get_if<refusal>(&admission)) {
        m_answer.breakOff(*reason);
        return step::Ended;
    }
    const term_number term = std::get<term_number>(admission);
    m_outcome.wasSent = true;
    bool isWritten = false;
    try {
        sendRequest(session, term);
        m_gate.written(term);
        isWritten = true;
        const step end = copyAnswer(session);
        m_gate.released(term);
        return end;
    } catch (const Poco::Exception&) {
        // A write that failed may have carried bytes, so it counts as written.
        if (!isWritten)
            m_gate.written(term);
        m_gate.released(term);
        throw;
    }
}

void backend_exchange::noteReset()
{
    if (m_outcome.wasReset || !m_outcome.wasSent)
        return;
    m_outcome.wasReset = true;
    m_gate.reset();
}

backend_exchange::step backend_exchange::tryOnce()
{
    try {
        std::unique_ptr<Poco::Net::HTTPClientSession> session = openSession();
        return tryThroughGate(*session);
    } catch (const Poco::Exception& error) {
        noteReset();
        if (!m_hasBegun)
            breakOff("Backend failed", error.displayText());
        return m_hasBegun ? step::Cut : step::Ended;
    }
}

// Without this an engine would go on generating what nobody reads, in a slot that others wait for.
void backend_exchange::cancelAtServer() const
{
    if (!m_submission.isModelCall || m_answer.isSuperseded())
        return;
    try {
        Poco::Net::HTTPClientSession session { Poco::Net::SocketAddress { m_submission.server.value() } };
        session.setTimeout(boundOf(m_options.connectTimeout));
        Poco::Net::HTTPRequest request { "DELETE", "/v1/requests/" + m_submission.request.value(), Poco::Net::HTTPMessage::HTTP_1_1 };
        session.sendRequest(request);
        Poco::Net::HTTPResponse response;
        session.receiveResponse(response);
    } catch (const Poco::Exception&) {
        // A server that can't be reached drops the request by its own bound for unread streams.
        return;
    }
}

exchange_outcome backend_exchange::run()
{
    for (int attempt = 0; attempt <= m_options.resumes; ++attempt) {
        if (tryOnce() == step::Ended)
            return m_outcome;
        if (m_answer.isAbandoned())
            break;
        noteReset();
    }
    breakOff("Answer cut short", "the stream broke and could not be resumed");
    return m_outcome;
}

} // namespace radishflow
