// Declares server_query, the criteria by which a backend server is chosen for a request.
#pragma once

#include "radishflow/Routing/fleet_view.h"
#include "radishflow/Routing/stream_origin.h"
#include "radishflow/Routing/version_restriction.h"
#include "radishflow/Support/ids.h"
#include "radishflow/Support/monotonic_clock.h"

#include <cstdint>
#include <optional>
#include <set>
#include <vector>

namespace radishflow {

struct server_query {
    service_id service;
    std::uint64_t affinity = 0; ///< Hash of the shared prompt; 0 for none.
    std::uint64_t tieBreak = 0; ///< A number that differs between requests; selects among equally loaded servers.
    zone_id zone; ///< Availability zone of this daemon.
    int priority = 0; ///< 0 is the most urgent.
    duration objective {}; ///< Time in which the response is due; zero if the route sets none.
    double coldRequestsPerSecond = 0; ///< Request rate of one cold server, from the policy of the service; 0 sets no limit.
    std::optional<version_key> version; ///< Only servers of this software version may be chosen.
    version_restriction restriction; ///< Versions that a roll-out allows.
    bool needsKnownProcess = false; ///< Only servers whose entry describes the process that runs may be chosen.
    const std::set<server_id>* allowed = nullptr; ///< The only servers that may be chosen, and only while they are reachable; null for all.
    std::vector<server_id> excluded; ///< Servers to which the request was already sent.
    const fleet_view* fleet = nullptr;
};

} // namespace radishflow
