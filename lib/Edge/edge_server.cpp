// Implements the callers' HTTP interface on POCO Net.
#include "radishflow/Edge/edge_server.h"

#include "answer_writer.h"
#include "request_parser.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/ThreadPool.h>
#include <Poco/URI.h>

#include <atomic>
#include <utility>

namespace radishflow {

namespace {

    struct shared_edge {
        edge_options options;
        edge_handlers handlers;
        std::atomic<int> calls = 0;
        std::atomic<bool> isLeaving = false;
    };

    // POCO's own base classes are the only way to receive its requests.
    class edge_request_handler final : public Poco::Net::HTTPRequestHandler {
    public:
        explicit edge_request_handler(shared_edge& edge)
            : m_edge(edge)
        {
        }

        void handleRequest(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response) override
        {
            if (m_edge.isLeaving)
                response.setKeepAlive(false);
            const std::string path = request.getURI().substr(0, request.getURI().find('?'));
            if (isCallPath(path)) {
                answerCall(request, response);
                return;
            }
            answerDocument(request, response, path);
        }

    private:
        void answerCall(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response)
        {
            const auto parsed = readCall(request, m_edge.options);
            if (const auto* problem = std::get_if<refusal>(&parsed)) {
                refuseAndClose(response, *problem);
                return;
            }
            caller_answer answer = m_edge.handlers.call(std::get<caller_request>(parsed));
            if (answer.refused) {
                sendRefusal(response, *answer.refused, answer.request);
                return;
            }
            sendAnswer(request, response, answer);
        }

        void answerDocument(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response, const std::string& path)
        {
            document_request query { .method = request.getMethod(), .path = path, .credential = request.get("Authorization", "") };
            for (const auto& [name, value] : Poco::URI { request.getURI() }.getQueryParameters())
                query.query[name] = value;
            auto body = readBody(request, m_edge.options);
            if (const auto* problem = std::get_if<refusal>(&body)) {
                refuseAndClose(response, *problem);
                return;
            }
            query.body = std::move(std::get<std::string>(body));
            sendDocument(response, m_edge.handlers.answer(query));
        }

        // What is left of a body that was refused can't be told from a next request.
        static void refuseAndClose(Poco::Net::HTTPServerResponse& response, const refusal& problem)
        {
            response.setKeepAlive(false);
            sendRefusal(response, problem, request_id {});
        }

        shared_edge& m_edge;
    };

    class edge_handler_factory final : public Poco::Net::HTTPRequestHandlerFactory {
    public:
        explicit edge_handler_factory(shared_edge& edge)
            : m_edge(edge)
        {
        }

        Poco::Net::HTTPRequestHandler* createRequestHandler(const Poco::Net::HTTPServerRequest&) override
        {
            return new edge_request_handler { m_edge };
        }

    private:
        shared_edge& m_edge;
    };

} // namespace

struct edge_server::state {
    shared_edge shared;
    Poco::ThreadPool workers;
    Poco::Net::ServerSocket socket;
    std::unique_ptr<Poco::Net::HTTPServer> server;

    // With POCO's queue of 64 for connections that are not accepted yet, a burst of callers lost some to the
    // kernel's retry after a second.
    state(const edge_options& theOptions, edge_handlers theHandlers)
        : shared { .options = theOptions, .handlers = std::move(theHandlers) }
        , workers(2, theOptions.connectionLimit)
        , socket(Poco::Net::SocketAddress { theOptions.host, theOptions.port }, theOptions.connectionLimit)
    {
    }
};

static Poco::Timespan toTimespan(std::chrono::milliseconds time)
{
    return Poco::Timespan { time.count() * Poco::Timespan::MILLISECONDS };
}

edge_server::edge_server(const edge_options& options, edge_handlers handlers)
    : m_state(std::make_unique<state>(options, std::move(handlers)))
{
    Poco::Net::HTTPServerParams::Ptr parameters { new Poco::Net::HTTPServerParams };
    parameters->setMaxThreads(options.connectionLimit);
    parameters->setMaxQueued(options.queueLimit);
    parameters->setTimeout(toTimespan(options.receiveTimeout));
    parameters->setKeepAliveTimeout(toTimespan(options.keepAliveTimeout));
    Poco::Net::HTTPRequestHandlerFactory::Ptr factory { new edge_handler_factory { m_state->shared } };
    m_state->server = std::make_unique<Poco::Net::HTTPServer>(factory, m_state->workers, m_state->socket, parameters);
    m_state->server->start();
}

edge_server::~edge_server()
{
    m_state->server->stopAll(true);
    m_state->workers.joinAll();
}

std::uint16_t edge_server::port() const
{
    return m_state->socket.address().port();
}

int edge_server::connections() const
{
    return m_state->server->currentConnections();
}

int edge_server::callsInProgress() const
{
    return m_state->shared.calls;
}

void edge_server::beginLeaving()
{
    m_state->shared.isLeaving = true;
}

} // namespace radishflow
