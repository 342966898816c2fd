// Implements caller_listener with POCO's poll set.
#include "radishflow/Relay/caller_listener.h"

#include "radishflow/Support/boottime_clock.h"
#include "radishflow/Support/ranked_mutex.h"
#include "radishflow/Support/timespan.h"
#include "radishflow/Threads/worker_pool.h"

#include <Poco/Exception.h>
#include <Poco/Net/PollSet.h>
#include <Poco/Net/ServerSocket.h>

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>
#include <thread>
#include <utility>

namespace radishflow {

// Length of the kernel's queue of connections to accept. Connection attempts beyond it wait for the retransmission of
// the caller's SYN.
static constexpr int acceptBacklog = 1024;
// Upper bound on how late an idle connection is closed and on how long the destructor waits for the loop.
static constexpr std::chrono::milliseconds pollInterval { 500 };

struct caller_listener::state {
    struct idle_connection {
        relay_socket socket;
        std::size_t endpoint = 0;
        time_point idleSince {};
    };

    std::vector<listen_endpoint> endpoints;
    caller_listener_options options;
    std::vector<Poco::Net::ServerSocket> sockets;
    Poco::Net::PollSet pollSet;
    ranked_mutex mutex { lock_rank::Connections };
    std::map<Poco::Net::Socket, idle_connection> idle;
    std::atomic<int> openConnections = 0;
    time_point expiryScannedAt {};
    std::atomic<bool> isStopping = false;
    worker_pool workers;
    std::thread thread;

    state(std::vector<listen_endpoint> theEndpoints, caller_listener_options theOptions)
        : endpoints(std::move(theEndpoints))
        , options(std::move(theOptions))
        , workers(options.workers)
    {
        for (const listen_endpoint& endpoint : endpoints) {
            sockets.emplace_back();
            sockets.back().bind(Poco::Net::SocketAddress { endpoint.address }, true);
            sockets.back().listen(acceptBacklog);
            sockets.back().setBlocking(false);
            pollSet.add(sockets.back(), Poco::Net::PollSet::POLL_READ);
        }
        thread = std::thread { [this] { loop(); } };
    }

    void loop()
    {
        while (!isStopping) {
            try {
                for (const auto& [socket, mode] : pollSet.poll(toTimespan(pollInterval)))
                    handleReadable(socket);
            } catch (const Poco::Exception&) {
                continue; // A connection was closed between the poll and its handling. The next poll reports the remaining events.
            }
            closeExpired();
        }
    }

    void handleReadable(const Poco::Net::Socket& socket)
    {
        const auto listening = std::find(sockets.begin(), sockets.end(), socket);
        if (listening != sockets.end()) {
            accept(static_cast<std::size_t>(listening - sockets.begin()));
            return;
        }
        idle_connection connection;
        {
            const std::lock_guard lock { mutex };
            const auto found = idle.find(socket);
            if (found == idle.end())
                return;
            pollSet.remove(socket);
            connection = std::move(found->second);
            idle.erase(found);
        }
        dispatch(std::move(connection));
    }

    void accept(std::size_t endpoint)
    {
        constexpr int maxAcceptsPerPoll = 64;
        for (int count = 0; count < maxAcceptsPerPoll; ++count) {
            if (!sockets[endpoint].poll(Poco::Timespan {}, Poco::Net::Socket::SELECT_READ))
                return;
            relay_socket accepted { sockets[endpoint].acceptConnection(), maxCallerSilence };
            if (static_cast<std::size_t>(++openConnections) > options.maxConnections) {
                accepted.close();
                --openConnections;
                continue;
            }
            addIdle({ .socket = std::move(accepted), .endpoint = endpoint });
        }
    }

    void addIdle(idle_connection connection)
    {
        connection.idleSince = boottime_clock {}.now();
        connection.socket.releaseSpareMemory();
        const Poco::Net::Socket socket = connection.socket.socket();
        const std::lock_guard lock { mutex };
        idle.insert_or_assign(socket, std::move(connection));
        pollSet.add(socket, Poco::Net::PollSet::POLL_READ);
    }

    void dispatch(idle_connection connection)
    {
        if (connection.socket.hasPeerDisconnected()) {
            close(connection);
            return;
        }
        auto sharedConnection = std::make_shared<idle_connection>(std::move(connection));
        const bool isStarted = workers.tryStart([this, sharedConnection] {
            if (endpoints[sharedConnection->endpoint].serve(sharedConnection->socket) == session_result::Idle) {
                addIdle(std::move(*sharedConnection));
                return;
            }
            close(*sharedConnection);
        });
        if (isStarted)
            return;
        // No worker has read the request, so the response may state that it was not run. The send does not wait.
        std::size_t sent = 0;
        const std::string& own = endpoints[sharedConnection->endpoint].overloadResponse;
        sharedConnection->socket.send(own.empty() ? options.overloadResponse : own, boottime_clock {}.now(), nullptr, &sent);
        sharedConnection->socket.shutdownSend();
        close(*sharedConnection);
    }

    void close(idle_connection& connection)
    {
        if (connection.socket.isOpen())
            connection.socket.close();
        --openConnections;
    }

    void closeExpired()
    {
        const time_point now = boottime_clock {}.now();
        if (now - expiryScannedAt < pollInterval)
            return;
        expiryScannedAt = now;
        const auto timeout = options.idleTimeout();
        const std::lock_guard lock { mutex };
        for (auto entry = idle.begin(); entry != idle.end();) {
            if (now - entry->second.idleSince < timeout) {
                ++entry;
                continue;
            }
            pollSet.remove(entry->first);
            close(entry->second);
            entry = idle.erase(entry);
        }
    }
};

caller_listener::caller_listener(std::vector<listen_endpoint> endpoints, caller_listener_options options)
    : m_state(std::make_unique<state>(std::move(endpoints), std::move(options)))
{
}

caller_listener::~caller_listener()
{
    m_state->isStopping = true;
    m_state->thread.join();
}

int caller_listener::activeConnections() const
{
    return m_state->workers.busy();
}

int caller_listener::connections() const
{
    return m_state->openConnections;
}

} // namespace radishflow
