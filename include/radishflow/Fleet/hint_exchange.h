// Declares hint_exchange, through which daemons exchange observations of backend servers.
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
    std::size_t peersPerRound = 6; ///< Daemons that receive the hints of a round without crashes; bounds the traffic in a large fleet.
    std::function<void(const server_hints&, const std::string& host)> onReceive; ///< Called on the exchange's thread with the sender's host.
};

/// Sends hints to other daemons by UDP and receives theirs.
///
/// In a large fleet a single daemon sends too few requests to a server to see its load, or to recognize a request that
/// crashes every server it is sent to. Delivery is best effort: a daemon that receives no hints works with its own
/// observations. Thread-safe.
class hint_exchange {
public:
    /// Bounds the traffic of prompt reports; a daemon with more of them sends the rest in the next round.
    static constexpr std::size_t maxPromptReportsPerRound = 280;

    /// Throws Poco::Exception if the address cannot be bound.
    explicit hint_exchange(hint_exchange_options);
    ~hint_exchange();
    hint_exchange(const hint_exchange&) = delete;
    hint_exchange& operator=(const hint_exchange&) = delete;

    /// Sends hints to a random sample of the fleet, or to the whole fleet if they include crashes, evidence on prompt parts or the
    /// suspension of a roll-out, which are rare. These are sent in as many datagrams as they need.
    void send(const server_hints&, const fleet_view&);
    /// Sends hints to the daemon on a host at once.
    void sendTo(const server_hints&, const std::string& host);
    /// Returns whether the hints of one round reach all daemons of the fleet.
    bool reachesAll(const fleet_view&) const;

private:
    void sendDatagram(const server_hints&, const fleet_view&);
    void sendBytes(const std::string& datagram, const std::string& host);
    void receive();

    hint_exchange_options m_options;
    Poco::Net::DatagramSocket m_socket;
    std::atomic<bool> m_isStopping = false;
    std::thread m_thread;
};

} // namespace radishflow
