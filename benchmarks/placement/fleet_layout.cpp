// Implements the fleet layouts of the benchmark.
#include "fleet_layout.h"

namespace radishflow {

fleet_layout findLayout(const std::string& name)
{
    const std::vector<fleet_layout> layouts {
        { .name = "port-louis", .servers = 20, .zones = 4 },
        { .name = "digitising-office", .servers = 12, .zones = 3 },
        { .name = "large", .servers = 1300, .zones = 9, .regions = 3 },
    };
    for (const fleet_layout& layout : layouts) {
        if (layout.name == name)
            return layout;
    }
    return {};
}

region_id regionName(std::size_t region)
{
    return region_id { "r" + std::to_string(region) };
}

std::vector<placement_server> fleet_layout::makeServers() const
{
    std::vector<placement_server> result;
    for (std::size_t i = 0; i < servers; ++i) {
        result.push_back({ .id = server_id { "10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250) + ":8000" },
            .zone = zone_id { "z" + std::to_string(zoneOf(i)) },
            .region = regionName(regionOf(i)) });
    }
    return result;
}

} // namespace radishflow
