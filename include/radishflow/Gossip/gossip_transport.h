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

/// Owns one thread, which receives, sends and calls tick(). All functions are thread-safe. The table is guarded by a
/// lock of rank Membership, which is never held while sending. Satisfies register_store.
class gossip_transport {
public:
    /// Binds the socket and starts the thread. Fails with InvalidInput if the address isn't "IP:port", and with
    /// Unreachable if it can't be bound.
    static result<std::unique_ptr<gossip_transport>> start(gossip_transport_options);
    /// Stops the thread without announcing that this daemon leaves.
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
    /// Returns the bound address, with the port that the system chose if 0 was given.
    peer_address address() const;
    /// Announces asynchronously that this daemon leaves; the thread keeps propagating the update until it is stopped.
    void leave();

private:
    class implementation;
    explicit gossip_transport(std::unique_ptr<implementation>);
    std::unique_ptr<implementation> m_implementation;
};

} // namespace radishflow
