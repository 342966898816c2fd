// Declares load_aggregator, which sums loads by zone and fleet so that only sums travel far.
#pragma once

#include "radishflow/Membership/load_sums.h"
#include "radishflow/Membership/member_list.h"
#include "radishflow/Membership/outgoing_message.h"

#include <map>
#include <optional>
#include <vector>

namespace radishflow {

/// One live member of each zone, by rendezvous hash, sums its zone, exchanges sums with the other zones'
/// aggregators and tells its zone the sum over the fleet. Not thread-safe.
class load_aggregator {
public:
    explicit load_aggregator(const membership_options& options)
        : m_options(options)
    {
    }

    void setOwn(std::vector<service_load> loads, time_point now);

    /// Sums and returns the messages of one interval.
    std::vector<outgoing_message> tick(const member_list&, time_point now);
    void receive(const gossip_message&, const member_list&, time_point now);

    /// Returns the sums over the fleet; empty before the first, or when they are older than zoneLoadLifetime.
    std::optional<load_sums> fleetSums(time_point now) const;

private:
    std::map<zone_id, const member_entry*> aggregators(const member_list&) const;
    void sumZone(const member_list&, time_point now);
    void sumFleet(time_point now);
    static gossip_message messageOf(message_kind, const load_sums&, time_point now);

    const membership_options& m_options;
    std::map<daemon_id, load_sums> m_members;
    std::map<zone_id, load_sums> m_zones;
    load_sums m_fleet;
};

} // namespace radishflow
