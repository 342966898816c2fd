// Declares server_access, which detects that this daemon has lost the path to the backend servers of a service while other daemons
// reach them.
#pragma once

#include "radishflow/Routing/listed_server.h"
#include "radishflow/Routing/peer_selector.h"
#include "radishflow/Routing/server_access_monitor.h"
#include "radishflow/Routing/service_contact.h"
#include "radishflow/Routing/shared_routing.h"
#include "radishflow/Support/boottime_clock.h"
#include "radishflow/Support/ranked_mutex.h"

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace radishflow {

struct server_access_handlers {
    std::function<void(const std::vector<std::uint32_t>& services)> askPeers; ///< Asks other daemons whether they reach servers of the services, given as hashes; answers arrive at peers().
    std::function<void(const std::string& host)> answerPeer; ///< Sends contacts() to a daemon that asked for them; also called by answer().
    std::function<void(bool hasLostAll)> onChange; ///< Called when hasLostAll() changes.
    std::function<void(const listed_server&)> onCrash; ///< Called when a suspected crash is confirmed.
    std::function<void(const service_id&)> onRecovery; ///< Called when servers of a service are reached again, also if all of them were down.
};

/// Probes servers on a thread of its own while there is a doubt. Thread-safe; uses one lock of rank Statistics and an unranked one, and
/// holds neither while it calls a handler. The handlers are called on that thread, and answerPeer also by answer().
class server_access {
public:
    server_access(const shared_routing&, server_access_handlers);
    ~server_access();
    server_access(const server_access&) = delete;
    server_access& operator=(const server_access&) = delete;

    /// Returns the monitor of a service, which lives as long as this object.
    server_access_monitor<boottime_clock>& monitorOf(const service_id&);
    peer_selector<boottime_clock>& peers() { return m_peers; }

    /// Records that a request could not establish a connection to a server.
    void recordConnectFailure(const listed_server&);
    /// Returns whether no server of the service is reached and another daemon reaches some, so that it can serve the requests.
    bool isLost(const service_id&);
    /// Waits while it is not decided whether access to the service is lost, at most for a fraction of a second. Returns isLost().
    bool awaitDecision(const service_id&, const std::function<bool()>& isCancelled);
    /// Returns whether access to all services that this daemon has used lately is lost.
    bool hasLostAll();
    /// Records that a server's connection broke and its host refuses new ones. That is a crash if another server is still reached
    /// shortly after; otherwise the path of this daemon may have failed.
    void suspectCrash(const listed_server&);
    /// Waits until it is decided whether a suspected server has crashed.
    void awaitCrashDecision(const server_id&);
    /// Answers a daemon that asked for services, given as hashes; first probes those of which no server was reached lately.
    void answer(const std::string& host, const std::vector<std::uint32_t>& services);
    /// Returns the contacts to publish: those of the services whose servers this daemon reaches.
    std::vector<service_contact> contacts();
    /// Returns the number of services of which no server is reached.
    std::size_t unavailableServices();

private:
    /// The monitor of a service, and what the thread does about it.
    struct service_state {
        explicit service_state(const boottime_clock& clock)
            : monitor(clock)
        {
        }

        server_access_monitor<boottime_clock> monitor;
        // Used by the thread only.
        bool wasLost = false; ///< As last logged.
        time_point nextQuestionAt {};
        std::chrono::milliseconds questionDelay {};
    };
    using service_entry = std::pair<const service_id, std::unique_ptr<service_state>>;

    void run();
    void wake();
    void confirmCrashes();
    void answerPeers();
    /// Returns whether a server that is not suspected is reached, of the service if it has any.
    bool reachesOtherServer(const service_id&, const std::set<server_id>& suspects) const;
    void runProbes(const service_id&, service_state&);
    bool probe(const service_id&, bool isRepeated) const;
    bool isQuestionDue(const service_id&, service_state&);
    void logChange(const service_id&, service_state&);
    service_state& stateOf(const service_id&);
    std::vector<service_entry*> services();
    std::int64_t millisecondsSince(time_point) const;
    static std::vector<std::string> sampleAddresses(const std::vector<const listed_server*>&, std::size_t count);
    /// Connects to the addresses at once; returns whether any connection is established in time.
    static bool connectAny(const std::vector<std::string>& addresses, std::chrono::milliseconds timeout);

    const shared_routing& m_routing;
    server_access_handlers m_handlers;
    boottime_clock m_clock;
    peer_selector<boottime_clock> m_peers { m_clock };
    ranked_mutex m_servicesMutex { lock_rank::Statistics };
    std::map<service_id, std::unique_ptr<service_state>> m_services; ///< Entries are never removed.
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<server_id, std::pair<listed_server, time_point>> m_suspects; ///< Servers that may have crashed, and when to confirm it; guarded by m_mutex.
    std::set<std::string> m_askers; ///< Hosts of daemons to answer after the next probes; guarded by m_mutex.
    bool m_isWoken = false;
    bool m_isStopping = false;
    bool m_hadLostAll = false; ///< As last reported; used by the thread only.
    std::thread m_thread;
};

} // namespace radishflow
