// Implements the sending of an answer to a caller.
#include "answer_writer.h"

#include "radishflow/Edge/problem_details.h"

#include "raw_answer.h"

#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/StreamSocket.h>

#include <ostream>

namespace radishflow {

static constexpr std::chrono::milliseconds readWait { 250 };

void sendRefusal(Poco::Net::HTTPServerResponse& response, const refusal& reason, const request_id& request)
{
    const std::string body = problemDetails(reason, request);
    response.setStatusAndReason(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(reason.status));
    response.setContentType("application/problem+json");
    response.set("X-Request-Id", request.value());
    if (reason.retryAfter.count() > 0)
        response.set("Retry-After", std::to_string((reason.retryAfter.count() + 999) / 1000));
    response.sendBuffer(body.data(), body.size());
}

void sendDocument(Poco::Net::HTTPServerResponse& response, const document& page)
{
    response.setStatusAndReason(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(page.status));
    response.setContentType(page.contentType);
    response.sendBuffer(page.body.data(), page.body.size());
}

static void sendHead(Poco::Net::HTTPServerResponse& response, const answer_part& first, const caller_answer& answer)
{
    response.setStatusAndReason(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(first.status));
    response.setContentType(first.contentType);
    response.set("X-Request-Id", answer.resumeId().value());
    response.set("Cache-Control", "no-store");
}

// Reads on until there are bytes to send, an end, or a caller that has gone, which must not hold a slot of an
// engine until its answer's end.
static answer_part readNext(Poco::Net::HTTPServerRequestImpl& request, caller_answer& answer, std::uint64_t offset)
{
    while (true) {
        answer_part part = answer.read(offset, readWait);
        if (!part.data.empty() || part.finished || part.broken || hasEnded(request.socket()))
            return part;
    }
}

static bool isEventStream(const answer_part& part)
{
    return part.contentType.starts_with("text/event-stream");
}

// The chunked stream writes its terminating chunk when it is destroyed; closing the socket first makes
// an answer that ended short look short to every HTTP client.
static void cutOff(Poco::Net::HTTPServerRequestImpl& request, std::ostream& out)
{
    out.flush();
    request.socket().shutdown();
}

void sendAnswer(Poco::Net::HTTPServerRequestImpl& request, Poco::Net::HTTPServerResponse& response, caller_answer& answer, const send_limit& limit)
{
    answer_part part = readNext(request, answer, 0);
    limit.watched.limit(limit.bound, connection_watch::cut_kind::Both);
    if (part.broken && part.data.empty()) {
        sendRefusal(response, part.refused.value_or(refusal { .status = 502, .title = "Answer lost", .execution = execution_state::Unknown }), answer.request);
        return;
    }
    if (part.status == 0) {
        answer.cancel();
        request.socket().shutdown();
        return;
    }
    sendHead(response, part, answer);
    if (part.finished) {
        response.sendBuffer(part.data.data(), part.data.size());
        return;
    }
    response.setChunkedTransferEncoding(true);
    std::ostream& out = response.send();
    std::uint64_t offset = 0;
    while (true) {
        out.write(part.data.data(), static_cast<std::streamsize>(part.data.size()));
        out.flush();
        offset += part.data.size();
        if (part.finished)
            return;
        if (part.broken && isEventStream(part) && part.refused)
            out << "event: error\ndata: " << problemDetails(*part.refused, answer.request) << "\n\n";
        if (part.broken)
            break;
        if (!out.good() || hasEnded(request.socket())) {
            answer.cancel();
            break;
        }
        limit.watched.lift();
        part = readNext(request, answer, offset);
        limit.watched.limit(limit.bound, connection_watch::cut_kind::Both);
    }
    cutOff(request, out);
}

} // namespace radishflow
