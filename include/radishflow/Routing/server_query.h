// Declares server_query, what a request asks of the server that is to take it.
#pragma once

#include "radishflow/Routing/fleet_view.h"
#include "radishflow/Support/ids.h"

#include <cstdint>
#include <vector>

namespace radishflow {

struct server_query {
    service_id service;
    std::uint64_t affinity = 0; ///< Hash of the shared prompt; 0 for none.
    std::uint64_t tieBreak = 0; ///< Any number that differs among requests.
    zone_id zone; ///< The asking daemon's.
    double coldRequestsPerSecond = 0; ///< Of one server, from the service's policy.
    std::vector<server_id> excluded; ///< Servers that had the request already.
    const fleet_view* fleet = nullptr;
};

} // namespace radishflow
