// Declares server_record, what this daemon remembers of one backend server.
#pragma once

#include "radishflow/Routing/cold_share.h"
#include "radishflow/Routing/decaying_count.h"
#include "radishflow/Routing/load_sample.h"
#include "radishflow/Support/ids.h"

#include <cstdint>
#include <optional>

namespace radishflow {

struct server_record {
    std::int64_t processStartMs = 0;
    int inFlight = 0; ///< This daemon's own requests.
    std::optional<load_sample> report;
    time_point reportedAt {};
    int inFlightAtReport = 0;
    cold_share cold;
    service_id service;
    decaying_count served;
    decaying_count failed;
    int unreachableInRow = 0;
    time_point ejectedUntil {}; ///< It fails more than the other servers of its service.
    time_point unreachableUntil {};
};

} // namespace radishflow
