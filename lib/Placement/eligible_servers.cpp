// Implements the choice of servers that the baseline policies share.
#include "radishflow/Placement/eligible_servers.h"

#include "radishflow/Placement/chat_server_hash.h"

namespace radishflow {

std::vector<std::uint32_t> eligibleServers(
    const placement_request& request, std::span<const placement_server> servers)
{
    std::vector<std::uint32_t> near;
    std::vector<std::uint32_t> far;
    for (std::uint32_t i = 0; i < servers.size(); ++i) {
        const placement_server& server = servers[i];
        if (!server.acceptsRequests || server.weight <= 0 || !rampTakesChat(request.chatHash, server.idHash, server.ramp))
            continue;
        (server.region == request.region ? near : far).push_back(i);
    }
    return near.empty() ? far : near;
}

} // namespace radishflow
