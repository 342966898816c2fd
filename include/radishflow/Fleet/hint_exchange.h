// Declares hint_exchange, by which daemons tell each other what they saw of backend servers.
#pragma once

#include "radishflow/Fleet/server_hints.h"
#include "radishflow/Routing/fleet_view.h"

#include <Poco/Net/DatagramSocket.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace radishflow {

struct hint_exchange_options {
    std::string address; ///< "IP:port"; all daemons use the same port.
    std::size_t peersPerRound = 6; ///< Daemons to which loads go each time, so that their cost doesn't grow with the fleet.
    std::function<void(const server_hints&)> onReceive; ///< Called from the exchange's thread.
};

/// Answers loads that no single daemon of a large fleet sees often enough, and requests that crash servers wherever they
/// are sent. Hints that are lost leave each daemon with what it saw itself. Thread-safe.
class hint_exchange {
public:
    /// Throws Poco::Exception when the address can't be bound.
    explicit hint_exchange(hint_exchange_options);
    ~hint_exchange();
    hint_exchange(const hint_exchange&) = delete;
    hint_exchange& operator=(const hint_exchange&) = delete;

    /// Sends loads to some daemons of the fleet, chosen at random, and crashes, which are rare, to all.
    void send(const server_hints&, const fleet_view&);

private:
    void receive();

    hint_exchange_options m_options;
    Poco::Net::DatagramSocket m_socket;
    std::atomic<bool> m_isStopping = false;
    std::thread m_thread;
};

} // namespace radishflow
