// Declares load_exchange, which shares load reports among the daemons.
#pragma once

#include "radishflow/Routing/fleet_view.h"
#include "radishflow/Routing/shared_load.h"

#include <Poco/Net/DatagramSocket.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace radishflow {

struct load_exchange_options {
    std::string address; ///< "IP:port"; all daemons use the same port.
    std::size_t peersPerRound = 6; ///< Daemons to which each round goes, so that its cost doesn't grow with the fleet.
    std::function<void(const std::vector<shared_load>&)> heard; ///< Called from the exchange's thread.
};

/// Answers loads that no single daemon of a large fleet sees often enough. Reports are hints: those that are lost or
/// forged can only misplace requests within the bounds of each server. Thread-safe.
class load_exchange {
public:
    /// Throws Poco::Exception when the address can't be bound.
    explicit load_exchange(load_exchange_options);
    ~load_exchange();
    load_exchange(const load_exchange&) = delete;
    load_exchange& operator=(const load_exchange&) = delete;

    /// Sends reports to some daemons of the fleet, chosen at random.
    void send(const std::vector<shared_load>&, const fleet_view&);

private:
    void receive();

    load_exchange_options m_options;
    Poco::Net::DatagramSocket m_socket;
    std::atomic<bool> m_isStopping = false;
    std::thread m_thread;
};

} // namespace radishflow
