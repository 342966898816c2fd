// Declares relay_fleet, a fleet of real relaying daemons in front of stand-ins of the users' platform.
#pragma once

#include "Support/child_process.h"
#include "Support/http_call.h"
#include "Support/wait_until.h"
#include "caller_connection.h"
#include "faulty_link.h"
#include "server_path.h"
#include "server_standin.h"
#include "standin_config.h"
#include "store_standin.h"
#include "test_request.h"

#include <Poco/Net/ServerSocket.h>

#include <chrono>
#include <filesystem>
#include <memory>
#include <string>
#include <vector>

namespace radishflow {

struct relay_fleet_options {
    int daemons = 2;
    int servers = 3;
    std::vector<std::string> versions { "v1" }; ///< Software versions of the servers, in turn.
    std::vector<std::string> services { standinService }; ///< Services of the servers, in turn.
    std::string serverZone; ///< Of all servers; if empty, the first one is in standinZone and the others in another zone.
    bool isProxied = false; ///< Whether all connections except the gossip between daemons go through a faulty_link.
    bool hasServerPaths = false; ///< Whether each daemon reaches each server by a server_path of its own.
    bool isLastDaemonDirect = false; ///< Whether the last daemon reaches the servers without one, and thus receives resets from them as such.
    std::vector<std::string> programs; ///< Of the daemons, in turn; empty for the one of this build.
    std::string logFolder; ///< Folder for the daemons' output; empty to discard it.
    server_behaviour behaviour; ///< Initial behaviour of all servers.
    std::chrono::milliseconds stopGrace { 4000 }; ///< Between SIGTERM and SIGKILL.
    std::vector<std::string> arguments; ///< Further arguments of the daemons.
    std::vector<std::string> contracts; ///< Parts of the platform's rules that are in force beside the usual ones.
    std::chrono::milliseconds revocationDelay { 2500 }; ///< Bound within which a revoked key must stop working.
};

/// Runs with the configuration of writeConfig(). Each daemon listens on a loopback address of its own. Not thread-safe.
class relay_fleet {
public:
    static constexpr const char* key = "key-of-w";
    static constexpr std::chrono::milliseconds maxRevocationDelay { 2500 };
    static constexpr std::chrono::milliseconds stopGrace { 4000 };

    explicit relay_fleet(const relay_fleet_options& = {});
    ~relay_fleet();
    relay_fleet(const relay_fleet&) = delete;
    relay_fleet& operator=(const relay_fleet&) = delete;

    store_standin& store() { return m_store; }
    server_standin& server(int number) { return *m_servers.at(static_cast<std::size_t>(number)); }
    int daemons() const { return static_cast<int>(m_daemons.size()); }
    int servers() const { return static_cast<int>(m_servers.size()); }
    /// The links of a proxied fleet: from a daemon to the store, from the callers to a daemon, from all daemons to a server.
    faulty_link& storeLink(int daemon) { return *m_storeLinks.at(static_cast<std::size_t>(daemon)); }
    faulty_link& callerLink(int daemon) { return *m_callerLinks.at(static_cast<std::size_t>(daemon)); }
    faulty_link& serverLink(int number) { return *m_serverLinks.at(static_cast<std::size_t>(number)); }
    /// Sets the state of the path from a daemon to a server, or to all servers.
    void setServerPath(int daemon, int server, path_state);
    void setServerPaths(int daemon, path_state);
    /// Returns the number of connections that a daemon has established to servers.
    int connectionsToServers(int daemon) const;
    child_process& daemon(int number) { return *m_daemons.at(static_cast<std::size_t>(number)); }

    /// Sets the program that a daemon runs from its next start on.
    void setProgram(int daemon, const std::string& program) { m_programs.at(static_cast<std::size_t>(daemon)) = program; }
    /// Returns the program of this build.
    static std::string currentProgram();
    /// Starts a daemon whose process has ended.
    void restart(int number);
    /// Publishes a configuration that has a public route "v<version>" and lacks the route `without`.
    void configure(int version, const std::string& workspaceKey = key, const std::string& without = {});
    void configure(const standin_config&);
    void list(int server, const std::string& state = "ready", int coldForMs = 0);

    std::string callerAddress(int daemon) const;
    /// Returns the address at which a daemon responds to address lookups.
    std::string lookupAddress(int daemon) const;
    /// Returns the address at which a daemon accepts requests that other daemons forward.
    std::string forwardingAddress(int daemon) const;
    /// Returns the sum of a counter of a daemon over all labels that start with the given text, or 0 if there is none.
    double metric(int daemon, const std::string& nameAndLabels) const;
    /// Sends a request with a new id.
    http_call_reply call(int daemon, const std::string& path, const std::string& method = "GET", const std::string& withKey = key, const std::string& body = {});
    /// Returns the lines of a stream and whether it is complete.
    std::pair<std::vector<std::string>, bool> stream(int daemon, const std::string& path);
    /// Sends a request for a stream with the given fields on a new connection.
    received_response stream(int daemon, const std::string& path, const test_request&);
    /// Returns the addresses of daemons from a daemon's lookup response; empty on failure.
    std::vector<std::string> lookUp(int daemon, std::chrono::milliseconds timeout = std::chrono::seconds { 5 }) const;
    /// Waits until a daemon's readiness is `ready`; returns false on timeout.
    bool waitReady(int daemon, bool ready = true, std::chrono::milliseconds timeout = std::chrono::seconds { 15 }) const;
    /// Returns the number of requests that ran, summed over all servers.
    int runs() const;
    /// Returns the number of requests to the route "order" that ran more than once.
    int ordersRunTwice() const;

private:
    std::string ipOf(int daemon) const;
    std::uint16_t portOf(int offset) const { return static_cast<std::uint16_t>(m_port + offset); }
    std::string storeAddress(int daemon) const;
    std::uint16_t listedPortOf(int server) const;
    void addServerPaths(int daemon);
    void start(int number);

    relay_fleet_options m_options;
    std::filesystem::path m_folder;
    std::vector<std::string> m_programs; ///< By daemon.
    Poco::Net::ServerSocket m_portReservation;
    int m_port = 0; ///< First of the ports that every daemon uses on its own address.
    store_standin m_store;
    std::vector<std::unique_ptr<server_standin>> m_servers;
    std::vector<std::unique_ptr<faulty_link>> m_storeLinks;
    std::vector<std::unique_ptr<faulty_link>> m_callerLinks;
    std::vector<std::unique_ptr<faulty_link>> m_serverLinks;
    std::vector<std::string> m_storeViews; ///< Addresses of the store with the server addresses of each daemon.
    std::vector<std::vector<std::unique_ptr<server_path>>> m_serverPaths; ///< By daemon and server.
    std::vector<std::unique_ptr<child_process>> m_daemons;
    int m_requests = 0;
};

} // namespace radishflow
