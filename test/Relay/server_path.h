// Declares server_path, the network path from one daemon to one backend server.
#pragma once

#include <atomic>
#include <cstdint>
#include <list>
#include <string>
#include <thread>
#include <vector>

namespace radishflow {

enum class path_state {
    Open,
    Hanging, ///< Nothing passes; connections stay open and new ones are not established.
    Reset, ///< Open connections are reset and new ones are refused.
    KeptOnly, ///< Open connections work; new ones are refused.
};

/// Forwards connections to a server until it is destroyed. Thread-safe.
class server_path {
public:
    /// Listens on a free port of the IP address.
    server_path(const std::string& ip, std::uint16_t serverPort);
    ~server_path();
    server_path(const server_path&) = delete;
    server_path& operator=(const server_path&) = delete;

    const std::string& address() const { return m_address; }
    void set(path_state state) { m_wanted = state; }
    /// Returns the number of connections that were established so far.
    int connections() const { return m_established; }

private:
    struct link {
        int client = -1;
        int server = -1;
    };

    void run();
    void applyState();
    void listen(int backlog);
    void closeListener();
    void fillAcceptQueue();
    void accept();
    /// Forwards available bytes; returns false if the connection has ended.
    static bool forward(int from, int to);
    static void close(const link&, bool isReset);

    std::string m_ip;
    std::uint16_t m_port = 0;
    std::uint16_t m_serverPort;
    std::string m_address;
    int m_listener = -1;
    std::vector<int> m_fillers; ///< Connections that occupy the accept queue, so that the kernel drops further SYNs.
    std::list<link> m_links;
    path_state m_state = path_state::Open;
    std::atomic<path_state> m_wanted = path_state::Open;
    std::atomic<int> m_established = 0;
    std::atomic<bool> m_isStopping = false;
    std::thread m_thread;
};

} // namespace radishflow
