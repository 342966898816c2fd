// Declares load_aggregator, which sums loads by zone and over the fleet, so that only sums cross zones.
#pragma once

#include "radishflow/Membership/load_sums.h"
#include "radishflow/Membership/member_list.h"
#include "radishflow/Membership/outgoing_message.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace radishflow {

/// Services are divided into shards. For each shard, one live member of each zone, selected by the rank of hashed
/// ids, is the aggregator: it sums the loads of its zone, exchanges sums with the aggregators of the other zones
/// and sends the sum over the fleet to the members of its zone. Not thread-safe.
class load_aggregator {
public:
    /// Shards distribute the work of aggregation over several members of a zone.
    static constexpr std::uint32_t shardCount = 4;

    explicit load_aggregator(const membership_options& options)
        : m_options(options)
    {
    }

    /// Sets this daemon's own loads; only the first maxServiceLoads are used.
    void setOwn(const std::vector<service_load>& loads, time_point now);

    /// Updates the sums and returns the messages to send; called once per loadInterval.
    std::vector<outgoing_message> tick(const member_list&, time_point now);
    void receive(const gossip_message&, const member_list&, time_point now);

    /// Returns the sums over the fleet; nothing if there are none or all are older than zoneLoadLifetime.
    std::optional<load_sums> fleetSums(time_point now) const;

private:
    using members_by_zone = std::map<zone_id, std::vector<const member_entry*>>;

    /// Loads of the services of one shard.
    struct shard_state {
        std::map<daemon_id, load_sums> members;
        std::map<zone_id, load_sums> zones;
        load_sums fleet;
    };

    static std::uint32_t shardOf(const service_load& load) { return load.service % shardCount; }
    static gossip_message messageOf(message_kind, const load_sums&, time_point now);
    /// Returns the members in state Alive by zone; the first shardCount of each zone are sorted by rank.
    static members_by_zone liveByZone(const member_list&);
    void tickShard(std::vector<outgoing_message>&, std::uint32_t shard, const members_by_zone& live, const member_list&, time_point now);
    void sumZone(shard_state&, const member_list&, time_point now) const;
    void sumFleet(shard_state&, time_point now) const;

    const membership_options& m_options;
    std::array<shard_state, shardCount> m_shards;
};

} // namespace radishflow
