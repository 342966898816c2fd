// Implements the serving of one caller's connection.
#include "edge_connection.h"

#include "answer_writer.h"
#include "raw_answer.h"
#include "request_parser.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponseImpl.h>
#include <Poco/Net/HTTPServerSession.h>
#include <Poco/Net/NetException.h>
#include <Poco/URI.h>

#include <string_view>
#include <utility>

namespace radishflow {

using cut_kind = connection_watch::cut_kind;

namespace {

    class edge_session final : public Poco::Net::HTTPServerSession {
    public:
        using HTTPServerSession::buffered;
        using HTTPServerSession::HTTPServerSession;

        /// Whether what follows can't be another request, which begins with a method.
        bool isFollowedByRest()
        {
            return buffered() > 0 && std::string_view { "GHPD" }.find(static_cast<char>(peek())) == std::string_view::npos;
        }
    };

    class call_count {
    public:
        explicit call_count(std::atomic<int>& calls)
            : m_calls(calls)
        {
            ++m_calls;
        }
        ~call_count() { --m_calls; }
        call_count(const call_count&) = delete;
        call_count& operator=(const call_count&) = delete;

    private:
        std::atomic<int>& m_calls;
    };

} // namespace

static refusal tooSlow(std::chrono::milliseconds bound)
{
    return { .status = 408, .title = "Request too slow", .detail = "head and body have to arrive within " + std::to_string(bound.count()) + " ms" };
}

// What is left of a request that was refused can't be told from a next request, so nothing more is read.
static void refuseAndEnd(Poco::Net::HTTPServerResponse& response, const refusal& problem)
{
    response.setKeepAlive(false);
    sendRefusal(response, problem, request_id {});
}

edge_connection::edge_connection(const Poco::Net::StreamSocket& socket, shared_edge& edge)
    : TCPServerConnection(socket)
    , m_edge(edge)
{
}

void edge_connection::run()
{
    connection_watch::entry watched { m_edge.watch, socket() };
    try {
        edge_session session { socket(), m_edge.parameters };
        while (session.hasMoreRequests()) {
            watched.limit(m_edge.options.receiveTimeout, cut_kind::Reading);
            if (!serveOne(session, watched))
                break;
            watched.lift();
        }
    } catch (const Poco::Exception&) {
        return; // The connection is broken, which nobody has to be told.
    }
    watched.limit(m_edge.options.sendTimeout, cut_kind::Both);
    closeGently(socket());
}

// POCO takes a head that was cut short to end there, and one with a byte 0xFF before a line's end as well; the
// fields that follow are lost. Of the latter, those are found whose next field can't be taken for a method.
static bool isHeadWhole(const Poco::Net::HTTPServerRequest& request, edge_session& session, const connection_watch::entry& watched)
{
    const bool isHalfClosed = session.buffered() == 0 && hasEnded(session.socket());
    const bool hasRest = !request.hasContentLength() && !request.has("Transfer-Encoding") && session.isFollowedByRest();
    return !watched.isCut() && !isHalfClosed && !hasRest;
}

// Returns whether another request may follow.
bool edge_connection::serveOne(Poco::Net::HTTPServerSession& session, connection_watch::entry& watched)
{
    refusal problem { .status = 400, .title = "Bad request" };
    try {
        Poco::Net::HTTPServerResponseImpl response { session };
        Poco::Net::HTTPServerRequestImpl request { response, session, m_edge.parameters };
        if (!isHeadWhole(request, static_cast<edge_session&>(session), watched))
            throw Poco::Net::MessageException { "the head is not whole" };
        response.setDate(Poco::Timestamp {});
        response.setVersion(Poco::Net::HTTPMessage::HTTP_1_1);
        response.setKeepAlive(request.getKeepAlive() && session.canKeepAlive() && !m_edge.isLeaving);
        handle(request, response, watched);
        session.setKeepAlive(response.getKeepAlive());
        return response.getKeepAlive() && !watched.isCut();
    } catch (const Poco::Net::NoMessageException&) {
        if (!watched.isCut())
            return false; // The caller closed the connection between two requests.
    } catch (const Poco::Net::MessageException& error) {
        problem.detail = error.message();
    } catch (const Poco::SyntaxException& error) {
        problem.detail = error.message();
    }
    if (watched.isCut())
        problem = tooSlow(m_edge.options.receiveTimeout);
    watched.limit(m_edge.options.sendTimeout, cut_kind::Both);
    const std::string text = rawAnswer(problem);
    socket().sendBytes(text.data(), static_cast<int>(text.size()));
    return false;
}

void edge_connection::handle(Poco::Net::HTTPServerRequestImpl& request, Poco::Net::HTTPServerResponseImpl& response, connection_watch::entry& watched)
{
    if (const auto problem = checkHead(request)) {
        watched.limit(m_edge.options.sendTimeout, cut_kind::Both);
        refuseAndEnd(response, *problem);
        return;
    }
    const std::string path = request.getURI().substr(0, request.getURI().find('?'));
    if (isCallPath(path)) {
        answerCall(request, response, watched);
        return;
    }
    answerDocument(request, response, watched, path);
}

void edge_connection::answerCall(Poco::Net::HTTPServerRequestImpl& request, Poco::Net::HTTPServerResponseImpl& response, connection_watch::entry& watched)
{
    const auto parsed = readCall(request, m_edge.options);
    const bool isLate = watched.isCut();
    watched.limit(m_edge.options.sendTimeout, cut_kind::Both);
    if (const auto* problem = std::get_if<refusal>(&parsed)) {
        if (problem->status == 405)
            response.set("Allow", "POST");
        refuseAndEnd(response, isLate ? tooSlow(m_edge.options.receiveTimeout) : *problem);
        return;
    }
    watched.lift();
    const call_count counted { m_edge.calls };
    caller_answer answer = m_edge.handlers.call(std::get<caller_request>(parsed));
    if (answer.refused) {
        watched.limit(m_edge.options.sendTimeout, cut_kind::Both);
        sendRefusal(response, *answer.refused, answer.request);
        return;
    }
    sendAnswer(request, response, answer, { .watched = watched, .bound = m_edge.options.sendTimeout });
}

void edge_connection::answerDocument(Poco::Net::HTTPServerRequestImpl& request, Poco::Net::HTTPServerResponseImpl& response, connection_watch::entry& watched, const std::string& path)
{
    document_request query { .method = request.getMethod(), .path = path, .credential = request.get("Authorization", "") };
    for (const auto& [name, value] : Poco::URI { request.getURI() }.getQueryParameters())
        query.query[name] = value;
    auto body = readBody(request, m_edge.options);
    const bool isLate = watched.isCut();
    watched.limit(m_edge.options.sendTimeout, cut_kind::Both);
    if (const auto* problem = std::get_if<refusal>(&body)) {
        refuseAndEnd(response, isLate ? tooSlow(m_edge.options.receiveTimeout) : *problem);
        return;
    }
    query.body = std::move(std::get<std::string>(body));
    watched.lift();
    const document page = m_edge.handlers.answer(query);
    watched.limit(m_edge.options.sendTimeout, cut_kind::Both);
    sendDocument(response, page);
}

} // namespace radishflow
