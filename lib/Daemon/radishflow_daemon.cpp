// Wires the libraries into one daemon.
#include "radishflow/Daemon/radishflow_daemon.h"

#include "radishflow/Backend/backend_client.h"
#include "radishflow/Config/config_store.h"
#include "radishflow/Daemon/fleet_directory.h"
#include "radishflow/Daemon/own_pages.h"
#include "radishflow/Daemon/owner_link.h"
#include "radishflow/Daemon/platform_watch.h"
#include "radishflow/Daemon/request_router.h"
#include "radishflow/Daemon/request_runner.h"
#include "radishflow/Daemon/server_gates.h"
#include "radishflow/Edge/edge_server.h"
#include "radishflow/Peer/peer_client.h"
#include "radishflow/Peer/peer_server.h"
#include "radishflow/Platform/platform_client.h"

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <string>
#include <thread>

namespace radishflow {

// Members stand in the order of their dependence: a later one uses earlier ones and is destroyed before them.
struct radishflow_daemon::state {
    daemon_options options;
    platform_client platform { platform_options { .address = options.platform } };
    config_store configuration;
    fleet_directory directory;
    server_gates gates { configuration };
    backend_client backends { backend_client_options {} };
    request_runner runner { gates, backends, options.requestLimit };
    peer_server peerInterface;
    peer_client peers { peer_client_options {} };
    owner_link link;
    request_router router { configuration, directory, link, options.region };
    own_pages pages { options, configuration, directory, gates, runner };
    edge_server edge;
    platform_watch watch { options, platform, directory, configuration };
    std::mutex stopMutex;
    std::condition_variable stopChanged;
    bool isStopping = false;
    std::thread background;

    explicit state(const daemon_options& theOptions)
        : options(theOptions)
        , peerInterface({ .host = options.address, .port = options.peerPort }, handlersForPeers())
        , link(runner, peers, options.address + ':' + std::to_string(peerInterface.port()))
        , edge({ .host = options.address, .port = options.httpPort, .connectionLimit = options.callerLimit, .bodyLimitBytes = options.bodyLimitBytes }, handlersForCallers())
        , background([this] { runBackground(); })
    {
    }

    ~state()
    {
        {
            const std::lock_guard lock { stopMutex };
            isStopping = true;
        }
        stopChanged.notify_all();
        background.join();
    }

    peer_handlers handlersForPeers()
    {
        return {
            .submit = [this](const request_submission& submission) { return runner.submit(submission); },
            .read = [this](const std::string& streamId, std::uint64_t offset, std::chrono::milliseconds wait, std::size_t most) { return runner.read(streamId, offset, wait, most); },
            .cancel = [this](const std::string& streamId) { runner.cancel(streamId); },
        };
    }

    edge_handlers handlersForCallers()
    {
        return {
            .call = [this](const caller_request& request) { return router.route(request); },
            .answer = [this](const document_request& request) { return pages.answer(request); },
        };
    }

    void runBackground()
    {
        std::unique_lock lock { stopMutex };
        while (!isStopping) {
            lock.unlock();
            watch.poll();
            runner.sweep();
            lock.lock();
            stopChanged.wait_for(lock, options.pollInterval, [&] { return isStopping; });
        }
    }
};

radishflow_daemon::radishflow_daemon(const daemon_options& options)
    : m_state(std::make_unique<state>(options))
{
}

radishflow_daemon::~radishflow_daemon() = default;

std::uint16_t radishflow_daemon::httpPort() const
{
    return m_state->edge.port();
}

std::uint16_t radishflow_daemon::peerPort() const
{
    return m_state->peerInterface.port();
}

} // namespace radishflow
