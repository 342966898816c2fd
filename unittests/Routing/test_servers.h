// Builds backend servers, server lists and fleet views for the routing tests.
#pragma once

#include "radishflow/Routing/fleet_view.h"
#include "radishflow/Routing/server_list.h"

#include <string>

namespace radishflow {

inline listed_server testServer(int number, const std::string& zone = "za")
{
    const std::string name = "s" + std::to_string(number);
    return { .id = server_id { name }, .service = service_id { "model" }, .address = name + ":1", .zone = zone_id { zone }, .slots = 64 };
}

inline server_list testServers(int count)
{
    server_list list;
    for (int number = 0; number < count; ++number)
        list.servers.emplace(testServer(number).id, testServer(number));
    return list;
}

/// Returns the view of a fleet of count daemons as seen by daemon number self.
inline fleet_view testFleet(int count, int self = 0)
{
    fleet_view fleet { .self = daemon_id { "d" + std::to_string(self) }, .size = static_cast<std::size_t>(count), .isSizeKnown = true };
    for (int number = 0; number < count; ++number)
        fleet.daemons.push_back({ .id = daemon_id { "d" + std::to_string(number) } });
    return fleet;
}

} // namespace radishflow
