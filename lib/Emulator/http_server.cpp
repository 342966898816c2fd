// Implements http_server over POCO's HTTPServer.
#include "radishflow/Emulator/http_server.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/ServerSocket.h>

#include <fcntl.h>
#include <sys/socket.h>

namespace radishflow {

static constexpr int listenBacklog = 1024;
static constexpr int idleThreadSeconds = 10;
static constexpr int stackBytes = 256 * 1024;
static constexpr int keepAliveSeconds = 5;

namespace {

    class function_handler : public Poco::Net::HTTPRequestHandler {
    public:
        explicit function_handler(const http_handler& handler)
            : m_handler(handler)
        {
        }

        void handleRequest(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response) override
        {
            try {
                m_handler(request, response);
            } catch (const std::exception&) {
                // Either the request was not valid or the peer went away.
                response.setKeepAlive(false);
                if (response.sent())
                    return;
                response.setStatusAndReason(Poco::Net::HTTPResponse::HTTP_BAD_REQUEST);
                response.setContentLength(0);
                response.send();
            }
        }

    private:
        const http_handler& m_handler;
    };

    class function_handler_factory : public Poco::Net::HTTPRequestHandlerFactory {
    public:
        explicit function_handler_factory(const http_handler& handler)
            : m_handler(handler)
        {
        }

        Poco::Net::HTTPRequestHandler* createRequestHandler(const Poco::Net::HTTPServerRequest&) override
        {
            return new function_handler(m_handler);
        }

    private:
        const http_handler& m_handler;
    };

} // namespace

http_server::http_server(const std::string& address, int threads, http_handler handler)
    : m_threads(threads)
    , m_handler(std::move(handler))
    , m_address(address)
    , m_pool(2, threads + 2, idleThreadSeconds, stackBytes)
{
    open();
}

http_server::~http_server()
{
    close();
    m_pool.joinAll();
}

void http_server::open()
{
    if (m_server)
        return;
    Poco::Net::ServerSocket socket;
    socket.bind(m_address, true, false);
    socket.listen(listenBacklog);
    // A program that a test starts would keep the port open after it was closed here.
    ::fcntl(socket.impl()->sockfd(), F_SETFD, FD_CLOEXEC);
    m_address = socket.address();
    m_listening = socket;
    Poco::Net::HTTPServerParams::Ptr params = new Poco::Net::HTTPServerParams;
    params->setMaxThreads(m_threads);
    params->setMaxQueued(listenBacklog);
    params->setKeepAliveTimeout(Poco::Timespan(keepAliveSeconds, 0));
    m_server = std::make_unique<Poco::Net::HTTPServer>(new function_handler_factory(m_handler), m_pool, socket, params);
    m_server->start();
}

void http_server::close()
{
    if (!m_server)
        return;
    // The stop ends connections before it closes the listening socket, which would go on accepting meanwhile.
    ::shutdown(m_listening.impl()->sockfd(), SHUT_RDWR);
    m_server->stopAll(true);
    m_server.reset();
}

void http_server::setRefusing(bool refusing)
{
    const std::lock_guard lock { m_mutex };
    if (refusing)
        close();
    else
        open();
}

} // namespace radishflow
