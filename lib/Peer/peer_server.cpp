// Implements the server of calls between daemons.
#include "radishflow/Peer/peer_server.h"

#include "Peer.h"
#include "wire_conversion.h"

#include <thrift/TConfiguration.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/server/TThreadedServer.h>
#include <thrift/transport/TBufferTransports.h>
#include <thrift/transport/TServerSocket.h>

#include <algorithm>
#include <exception>
#include <future>
#include <thread>
#include <utility>

namespace radishflow {

namespace {

    // Thrift's own base class is the only way to receive its calls.
    class peer_dispatch final : public wire::PeerIf {
    public:
        explicit peer_dispatch(peer_handlers handlers)
            : m_handlers(std::move(handlers))
        {
        }

        void submit(wire::SubmitReply& reply, const wire::SubmitRequest& request) override
        {
            reply = toWire(m_handlers.submit(fromWire(request)));
        }

        // The wait and the size are the peer's wishes; a wrong peer must not hold a thread or memory for long.
        void read(wire::ReadReply& reply, const std::string& streamId, const std::int64_t offset, const std::int32_t waitMs, const std::int32_t maxBytes) override
        {
            constexpr std::int32_t longestWaitMs = 5000;
            constexpr std::int32_t largestPart = 1 << 20;
            const std::chrono::milliseconds wait { std::clamp(waitMs, 0, longestWaitMs) };
            const auto most = static_cast<std::size_t>(std::clamp(maxBytes, 1, largestPart));
            reply = toWire(m_handlers.read(streamId, static_cast<std::uint64_t>(std::max<std::int64_t>(0, offset)), wait, most));
        }

        void cancel(const std::string& streamId) override { m_handlers.cancel(streamId); }

        void learnCrashes(const std::vector<wire::CrashRecord>& records) override { m_handlers.learnCrashes(fromWire(records)); }

        void configuration(wire::Configuration& reply, const std::int64_t above) override
        {
            const peer_configuration inForce = m_handlers.configuration(config_version { static_cast<std::uint64_t>(above) });
            reply.__set_version(static_cast<std::int64_t>(inForce.version.value()));
            reply.__set_objectKey(inForce.objectKey);
            reply.__set_objects(inForce.objects);
        }

    private:
        peer_handlers m_handlers;
    };

    // Frames of a bounded size: a hostile length must not make the server allocate it.
    class bounded_frames final : public apache::thrift::transport::TTransportFactory {
    public:
        explicit bounded_frames(int limitBytes)
            : m_configuration(std::make_shared<apache::thrift::TConfiguration>(limitBytes, limitBytes))
        {
        }

        std::shared_ptr<apache::thrift::transport::TTransport> getTransport(std::shared_ptr<apache::thrift::transport::TTransport> socket) override
        {
            constexpr std::uint32_t firstBufferBytes = 512;
            constexpr std::uint32_t reclaimBytes = 64 * 1024;
            return std::make_shared<apache::thrift::transport::TFramedTransport>(socket, firstBufferBytes, reclaimBytes, m_configuration);
        }

    private:
        std::shared_ptr<apache::thrift::TConfiguration> m_configuration;
    };

    // Thrift's server opens the socket itself, on its own thread; this tells when it has.
    class readiness final : public apache::thrift::server::TServerEventHandler {
    public:
        void preServe() override { m_isListening.set_value(); }
        void fail(std::exception_ptr error) { m_isListening.set_exception(std::move(error)); }
        void wait() { m_isListening.get_future().get(); }

    private:
        std::promise<void> m_isListening;
    };

} // namespace

struct peer_server::state {
    std::shared_ptr<apache::thrift::transport::TServerSocket> socket;
    std::unique_ptr<apache::thrift::server::TThreadedServer> server;
    std::thread thread;
};

peer_server::peer_server(const peer_server_options& options, peer_handlers handlers)
    : m_state(std::make_unique<state>())
{
    using namespace apache::thrift;
    m_state->socket = std::make_shared<transport::TServerSocket>(options.host, options.port);
    auto processor = std::make_shared<wire::PeerProcessor>(std::make_shared<peer_dispatch>(std::move(handlers)));
    auto transports = std::make_shared<bounded_frames>(options.messageLimitBytes);
    auto protocols = std::make_shared<protocol::TCompactProtocolFactory>(options.messageLimitBytes, options.messageLimitBytes);
    m_state->server = std::make_unique<server::TThreadedServer>(processor, m_state->socket, transports, protocols);
    m_state->server->setConcurrentClientLimit(options.connectionLimit);
    auto ready = std::make_shared<readiness>();
    m_state->server->setServerEventHandler(ready);
    m_state->thread = std::thread { [server = m_state->server.get(), ready] {
        try {
            server->serve();
        } catch (const TException&) {
            // Only the opening of the socket throws; later errors end single connections.
            ready->fail(std::current_exception());
        }
    } };
    try {
        ready->wait();
    } catch (...) {
        m_state->thread.join();
        throw;
    }
}

peer_server::~peer_server()
{
    m_state->server->stop();
    m_state->thread.join();
}

std::uint16_t peer_server::port() const
{
    return static_cast<std::uint16_t>(m_state->socket->getPort());
}

} // namespace radishflow
