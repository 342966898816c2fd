// Implements the baseline policy that cycles through the servers.
#include "radishflow/Placement/round_robin.h"

#include "radishflow/Placement/eligible_servers.h"

#include <algorithm>

namespace radishflow {

server_ranking round_robin::rank(
    const placement_request& request, std::span<const placement_server> servers, std::size_t maxCount)
{
    const std::vector<std::uint32_t> eligible = eligibleServers(request, servers);
    const std::size_t count = std::min(maxCount, eligible.size());
    server_ranking ranking;
    for (std::size_t i = 0; i < count; ++i)
        ranking.push_back(eligible[(m_next + i) % eligible.size()]);
    ++m_next;
    return ranking;
}

} // namespace radishflow
