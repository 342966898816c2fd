// Implements the set of candidate servers that the baseline policies share.
#include "radishflow/Placement/eligible_servers.h"

#include "radishflow/Placement/chat_server_hash.h"

namespace radishflow {

std::vector<std::uint32_t> eligibleServers(
    const placement_request& request, std::span<const placement_server> servers)
{
    std::vector<std::uint32_t> local;
    std::vector<std::uint32_t> remote;
    for (std::uint32_t i = 0; i < servers.size(); ++i) {
        const placement_server& server = servers[i];
        if (!server.acceptsRequests || server.weight <= 0 || !rampAdmitsChat(request.chatHash, server.idHash, server.ramp))
            continue;
        (server.region == request.region ? local : remote).push_back(i);
    }
    return local.empty() ? remote : local;
}

} // namespace radishflow
