// Implements the callers' HTTP interface on POCO Net.
#include "radishflow/Edge/edge_server.h"

#include "radishflow/Support/timespan.h"

#include "edge_connection.h"
#include "raw_answer.h"
#include "shared_edge.h"

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/TCPServer.h>
#include <Poco/Net/TCPServerConnectionFactory.h>
#include <Poco/ThreadPool.h>

#include <algorithm>
#include <string>
#include <sys/socket.h>
#include <utility>

namespace radishflow {

namespace {

    // POCO's own base classes are the only way to receive its connections.
    class edge_connection_factory final : public Poco::Net::TCPServerConnectionFactory {
    public:
        explicit edge_connection_factory(shared_edge& edge)
            : m_edge(edge)
        {
        }

        Poco::Net::TCPServerConnection* createConnection(const Poco::Net::StreamSocket& socket) override
        {
            return new edge_connection { socket, m_edge };
        }

    private:
        shared_edge& m_edge;
    };

    // Runs in the thread that accepts, so it never waits for a caller.
    class full_server_filter final : public Poco::Net::TCPServerConnectionFilter {
    public:
        full_server_filter(const Poco::Net::TCPServer& server, int limit)
            : m_server(server)
            , m_limit(limit)
            , m_answer(rawAnswer({ .status = 503, .title = "Too many connections", .detail = "this daemon serves no more callers now", .retryAfter = std::chrono::milliseconds { 1000 } }))
        {
        }

        bool accept(const Poco::Net::StreamSocket& socket) override
        {
            if (m_server.currentConnections() + m_server.queuedConnections() < m_limit)
                return true;
            const int descriptor = socket.impl()->sockfd();
            ::send(descriptor, m_answer.data(), m_answer.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
            ::shutdown(descriptor, SHUT_WR);
            // A close with unread bytes would reset the connection and take the answer from the caller.
            char dropped[8192];
            while (::recv(descriptor, dropped, sizeof dropped, MSG_DONTWAIT) > 0) { }
            return false;
        }

    private:
        const Poco::Net::TCPServer& m_server;
        int m_limit;
        std::string m_answer;
    };

} // namespace

struct edge_server::state {
    shared_edge shared;
    Poco::ThreadPool workers;
    Poco::Net::ServerSocket socket;
    std::unique_ptr<Poco::Net::TCPServer> server;

    // With POCO's queue of 64 for connections that are not accepted yet, a burst of callers lost some to the
    // kernel's retry after a second.
    state(const edge_options& theOptions, edge_handlers theHandlers)
        : shared { .options = theOptions, .handlers = std::move(theHandlers), .parameters = new Poco::Net::HTTPServerParams }
        , workers(2, theOptions.connectionLimit)
        , socket(Poco::Net::SocketAddress { theOptions.host, theOptions.port }, theOptions.connectionLimit)
    {
    }
};

edge_server::edge_server(const edge_options& options, edge_handlers handlers)
    : m_state(std::make_unique<state>(options, std::move(handlers)))
{
    shared_edge& shared = m_state->shared;
    const int mostConnections = options.connectionLimit + options.queueLimit;
    shared.parameters->setMaxThreads(options.connectionLimit);
    shared.parameters->setMaxQueued(mostConnections);
    // The watch bounds a request as a whole; POCO's own bound of each receive only has to come later.
    shared.parameters->setTimeout(toTimespan(2 * std::max(options.receiveTimeout, options.sendTimeout)));
    shared.parameters->setKeepAliveTimeout(toTimespan(options.keepAliveTimeout));
    const Poco::Net::TCPServerConnectionFactory::Ptr factory { new edge_connection_factory { shared } };
    m_state->server = std::make_unique<Poco::Net::TCPServer>(factory, m_state->workers, m_state->socket, shared.parameters);
    m_state->server->setConnectionFilter(new full_server_filter { *m_state->server, mostConnections });
    m_state->server->start();
}

edge_server::~edge_server()
{
    m_state->server->stop();
    m_state->shared.watch.cutAll();
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
