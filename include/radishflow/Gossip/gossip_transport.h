// Declares gossip_transport, which runs a membership_table on a UDP socket.
#pragma once

#include "radishflow/Gossip/gossip_traffic.h"
#include "radishflow/Gossip/gossip_transport_options.h"
#include "radishflow/Membership/load_sums.h"
#include "radishflow/Membership/member.h"
#include "radishflow/Membership/membership_counters.h"
#include "radishflow/Membership/register_map.h"
#include "radishflow/Membership/seed_peer.h"
#include "radishflow/Support/result.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace radishflow {

/// Has one thread of its own. All functions are thread-safe; they take one lock of rank Membership, which is
/// never held while sending. Satisfies register_store.
class gossip_transport {
public:
    /// Binds the socket and starts the thread; fails with InvalidInput or Unreachable.
    static result<std::unique_ptr<gossip_transport>> start(gossip_transport_options);
    /// Stops the thread; does not say goodbye.
    ~gossip_transport();
    gossip_transport(const gossip_transport&) = delete;
    gossip_transport& operator=(const gossip_transport&) = delete;

    void seed(std::vector<seed_peer>);
    bool publish(const std::string& key, const std::string& bytes);
    bool setRegister(const std::string& key, fleet_register value);
    fleet_register registerOf(const std::string& key) const;
    register_map registers() const;
    void setLoads(const std::vector<service_load>&);
    std::optional<load_sums> fleetLoads() const;
    std::vector<member> members() const;
    std::optional<member> memberOf(const daemon_id&) const;
    incarnation_number incarnation() const;
    bool isIsolated() const;
    membership_counters counters() const;
    gossip_traffic traffic() const;
    /// Returns the bound address.
    peer_address address() const;
    /// Says goodbye; the thread goes on spreading the news until it is stopped.
    void leave();

private:
    class implementation;
    explicit gossip_transport(std::unique_ptr<implementation>);
    std::unique_ptr<implementation> m_implementation;
};

} // namespace radishflow
