// Declares stream_origin_exchange, through which daemons learn at which software version another daemon began a stream.
#pragma once

#include "radishflow/Routing/fleet_view.h"
#include "radishflow/Routing/stream_origin.h"
#include "radishflow/Support/boottime_clock.h"
#include "radishflow/Support/ranked_mutex.h"
#include "radishflow/Support/recent_map.h"

#include <Poco/Net/DatagramSocket.h>

#include <atomic>
#include <condition_variable>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace radishflow {

/// Keeps the origins of recent streams, at this daemon and at a few others in all availability zones, and looks up those of
/// streams that began elsewhere, by UDP.
///
/// A caller resumes a stream at any daemon, often because the one that it used has failed, so an origin is sent to its holders
/// before the stream's first event goes to the caller. Thread-safe; one lock of rank Streams.
class stream_origin_exchange {
public:
    /// Takes the address ("IP:port") to listen at; all daemons use the same port. Calls onReceive on a thread of its own for each origin
    /// that another daemon sends. Throws Poco::Exception if the address cannot be bound.
    explicit stream_origin_exchange(const std::string& address, std::function<void(const stream_origin&)> onReceive = {});
    ~stream_origin_exchange();
    stream_origin_exchange(const stream_origin_exchange&) = delete;
    stream_origin_exchange& operator=(const stream_origin_exchange&) = delete;

    /// Records an origin and sends it to its holders.
    void publish(const stream_origin&, const fleet_view&);
    /// Sends origins to the daemon on another host.
    void sendTo(const std::vector<stream_origin>&, const std::string& host);
    /// Returns the version that began a stream. Asks the holders in the current fleet if this daemon does not know it, and waits
    /// until one of them does, all have answered, or the time for answers is over; a daemon that has just started waits for
    /// holders to be discovered. Returns nothing if the version is unknown.
    std::optional<version_key> find(stream_key, const std::function<std::shared_ptr<const fleet_view>()>& currentFleet);

private:
    /// A find() that waits for answers.
    struct lookup {
        stream_key stream;
        std::set<std::string> silentHosts {}; ///< Holders that have not answered yet.
        std::set<std::string> answeredHosts {};
        std::optional<version_key> version {};
    };

    void receive();
    void handleDatagram(std::string_view bytes, const Poco::Net::SocketAddress& sender);
    void recordAnswer(const stream_origin&, const std::string& host);
    void send(const std::string& datagram, const std::string& host);

    std::function<void(const stream_origin&)> m_onReceive;
    std::string m_port; ///< ":port" at which all daemons listen.
    Poco::Net::DatagramSocket m_socket;
    boottime_clock m_clock;
    time_point m_startedAt { m_clock.now() };
    ranked_mutex m_mutex { lock_rank::Streams };
    std::condition_variable_any m_answered;
    recent_map<stream_key, version_key> m_origins;
    std::list<lookup> m_lookups;
    std::atomic<bool> m_isStopping = false;
    std::thread m_thread;
};

} // namespace radishflow
