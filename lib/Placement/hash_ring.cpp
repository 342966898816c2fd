// Implements the baseline policy of a consistent-hash ring.
#include "radishflow/Placement/hash_ring.h"

#include "radishflow/Placement/chat_server_hash.h"

#include <algorithm>
#include <cmath>

namespace radishflow {

static constexpr double pointsPerWeight = 100;

void hash_ring::build(std::span<const placement_server> servers)
{
    m_points.clear();
    for (std::uint32_t i = 0; i < servers.size(); ++i) {
        const auto points = static_cast<std::uint64_t>(std::lround(pointsPerWeight * servers[i].weight));
        for (std::uint64_t point = 0; point < points; ++point)
            m_points.emplace_back(chatServerHash(mixBits(point + 1), servers[i].idHash), i);
    }
    std::sort(m_points.begin(), m_points.end());
}

static std::uint64_t serverSetHash(std::span<const placement_server> servers)
{
    std::uint64_t hash = servers.size();
    for (const placement_server& server : servers)
        hash = hash * 31 + server.idHash;
    return hash;
}

// Other regions are used only when the request's region has no server, so the ring is traversed at most twice.
server_ranking hash_ring::rank(
    const placement_request& request, std::span<const placement_server> servers, std::size_t maxCount)
{
    if (const std::uint64_t hash = serverSetHash(servers); hash != m_serverSetHash) {
        build(servers);
        m_serverSetHash = hash;
    }
    server_ranking ranking;
    const std::pair<std::uint64_t, std::uint32_t> chat { request.chatHash, 0 };
    const auto first = static_cast<std::size_t>(
        std::lower_bound(m_points.begin(), m_points.end(), chat) - m_points.begin());
    for (const bool isLocal : { true, false }) {
        for (std::size_t i = 0; i < m_points.size() && ranking.size() < maxCount; ++i) {
            const std::uint32_t index = m_points[(first + i) % m_points.size()].second;
            const placement_server& server = servers[index];
            if (!server.acceptsRequests || (server.region == request.region) != isLocal)
                continue;
            if (std::find(ranking.begin(), ranking.end(), index) == ranking.end())
                ranking.push_back(index);
        }
        if (!ranking.empty())
            break;
    }
    return ranking;
}

} // namespace radishflow
