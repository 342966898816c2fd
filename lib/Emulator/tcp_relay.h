// Declares tcp_relay, the fault proxy for connections.
#pragma once

#include "radishflow/Support/boottime_clock.h"

#include "proxy_counts.h"
#include "proxy_rules.h"
#include "relay_connection.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>

#include <list>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

namespace radishflow {

/// Relays on one thread of its own until it is destroyed. Thread-safe.
class tcp_relay {
public:
    /// Throws Poco::Exception when the address can't be had.
    tcp_relay(const std::string& address, const std::string& target);
    ~tcp_relay();
    tcp_relay(const tcp_relay&) = delete;
    tcp_relay& operator=(const tcp_relay&) = delete;

    std::uint16_t port() const { return m_address.port(); }

    /// Sets the rules; the numbers that the seeded choice goes by start anew.
    void setRules(const proxy_rules&);
    proxy_rules rules() const;
    proxy_counts counts() const;

private:
    void run();
    void listen();
    void closeAll();
    void acceptAll();
    void moveBytes();

    Poco::Net::SocketAddress m_address;
    Poco::Net::SocketAddress m_target;
    boottime_clock m_clock;
    mutable std::mutex m_mutex;
    proxy_rules m_rules;
    proxy_counts m_counts;
    bool m_isStopping = false;
    std::uint64_t m_number = 0; ///< Of the last connection since the rules were set.
    std::optional<Poco::Net::ServerSocket> m_listener;
    std::list<relay_connection> m_connections;
    std::thread m_thread;
};

} // namespace radishflow
