// Declares fleet_layout, the numbers of servers, zones and regions of a benchmark fleet.
#pragma once

#include "radishflow/Placement/placement_server.h"

#include <cstddef>
#include <string>
#include <vector>

namespace radishflow {

struct fleet_layout {
    std::string name;
    std::size_t servers = 0;
    std::size_t zones = 0;
    std::size_t regions = 1;

    std::size_t zoneOf(std::size_t index) const { return index % zones; }
    std::size_t regionOf(std::size_t index) const { return zoneOf(index) % regions; }

    std::vector<placement_server> makeServers() const;
};

/// Returns the layout "port-louis", "digitising-office" or "large", or a layout without servers for any other name.
fleet_layout findLayout(const std::string& name);

region_id regionName(std::size_t region);

} // namespace radishflow
