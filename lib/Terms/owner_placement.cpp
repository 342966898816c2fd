// Implements owner_placement. With 1,300 servers and 350 daemons a full ranking takes 455,000 comparisons, so it is
// repeated only when the fingerprint of the inputs changes.
#include "radishflow/Terms/owner_placement.h"

#include "radishflow/Support/hashing.h"
#include "radishflow/Terms/owner_ranking.h"

namespace radishflow {

static std::uint64_t fingerprintOf(std::span<const fleet_daemon> candidates, std::span<const fleet_server> servers)
{
    std::uint64_t sum = candidates.size() * 31 + servers.size();
    for (const fleet_daemon& daemon : candidates)
        sum += stableHash(daemon.daemon.value(), daemon.zone.value());
    for (const fleet_server& server : servers)
        sum += stableHash(server.server.value(), server.zone.value()) * (server.isLeaving ? 5 : 3);
    return sum;
}

void owner_placement::update(std::span<const fleet_daemon> candidates, std::span<const fleet_server> servers)
{
    const std::uint64_t fingerprint = fingerprintOf(candidates, servers);
    if (fingerprint == m_fingerprint)
        return;
    m_fingerprint = fingerprint;
    m_placed.clear();
    for (const fleet_server& server : servers) {
        if (const fleet_daemon* preferred = highestRankedDaemon(server, candidates))
            m_placed[server.server] = { .preferred = preferred->daemon, .isLeaving = server.isLeaving };
    }
}

const daemon_id* owner_placement::preferredOwner(const server_id& server) const
{
    const auto placed = m_placed.find(server);
    return placed == m_placed.end() ? nullptr : &placed->second.preferred;
}

std::vector<server_id> owner_placement::serversPreferring(const daemon_id& daemon) const
{
    std::vector<server_id> servers;
    for (const auto& [server, placed] : m_placed) {
        if (placed.preferred == daemon && !placed.isLeaving)
            servers.push_back(server);
    }
    return servers;
}

} // namespace radishflow
