// Defines the servers and requests that the tests of placement share.
#pragma once

#include "radishflow/Placement/chat_server_hash.h"
#include "radishflow/Placement/placement_request.h"
#include "radishflow/Placement/placement_server.h"

#include <string>
#include <vector>

namespace radishflow {

inline std::vector<placement_server> makeServers(std::size_t count, std::size_t zones = 4)
{
    std::vector<placement_server> servers;
    for (std::size_t i = 0; i < count; ++i) {
        servers.push_back({ .id = server_id { "10.0.0." + std::to_string(i) + ":8000" },
            .zone = zone_id { "z" + std::to_string(i % zones) },
            .region = region_id { "ra" } });
    }
    return servers;
}

inline placement_request makeRequest(std::uint64_t chat)
{
    return { .chatHash = mixBits(chat + 1), .region = region_id { "ra" } };
}

} // namespace radishflow
