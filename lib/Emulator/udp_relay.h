// Declares udp_relay, the fault proxy for datagrams.
#pragma once

#include "radishflow/Support/boottime_clock.h"

#include "proxy_counts.h"
#include "proxy_rules.h"

#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/SocketAddress.h>

#include <deque>
#include <list>
#include <mutex>
#include <string>
#include <thread>

namespace radishflow {

/// Relays on one thread of its own until it is destroyed. Thread-safe.
///
/// Each sender gets a socket of its own towards the target, so that answers find their way back.
class udp_relay {
public:
    /// Throws Poco::Exception when the address can't be had.
    udp_relay(const std::string& address, const std::string& target);
    ~udp_relay();
    udp_relay(const udp_relay&) = delete;
    udp_relay& operator=(const udp_relay&) = delete;

    std::uint16_t port() const { return m_socket.address().port(); }

    /// Sets the rules; the numbers that the seeded choice goes by start anew.
    void setRules(const proxy_rules&);
    proxy_rules rules() const;
    proxy_counts counts() const;

private:
    struct sender {
        Poco::Net::SocketAddress address;
        Poco::Net::DatagramSocket socket; ///< Connected to the target.
    };
    struct datagram {
        std::string bytes;
        time_point dueAt;
        relay_way way = relay_way::Up;
        sender* from = nullptr;
    };

    void run();
    void wait();
    void receiveAll();
    void receiveFrom(sender&);
    sender& senderAt(const Poco::Net::SocketAddress&);
    void take(std::string bytes, relay_way, sender&);
    void sendDue();

    Poco::Net::SocketAddress m_target;
    Poco::Net::DatagramSocket m_socket;
    boottime_clock m_clock;
    mutable std::mutex m_mutex;
    proxy_rules m_rules;
    proxy_counts m_counts;
    bool m_isStopping = false;
    std::uint64_t m_number = 0; ///< Of the last datagram since the rules were set.
    std::list<sender> m_senders;
    std::deque<datagram> m_queue;
    std::thread m_thread;
};

} // namespace radishflow
