// Declares server_record, the load and health that this daemon has recorded for one backend server.
#pragma once

#include "radishflow/Routing/cold_share.h"
#include "radishflow/Routing/decaying_count.h"
#include "radishflow/Routing/in_flight_history.h"
#include "radishflow/Routing/load_forecast.h"
#include "radishflow/Routing/load_sample.h"
#include "radishflow/Routing/response_delay.h"
#include "radishflow/Support/ids.h"

#include <cstdint>
#include <optional>

namespace radishflow {

struct server_record {
    std::int64_t processStartMs = 0; ///< Wall-clock time; 0 if unknown.
    in_flight_history inFlight; ///< Requests of this daemon at the server.
    std::optional<load_sample> report;
    time_point reportedAt {};
    int inFlightAtReport = 0; ///< Requests of this daemon at the server when the server made the report.
    load_forecast forecast; ///< Of the requests of other daemons.
    response_delay delay; ///< Of a server that does not report its load.
    cold_share coldShare;
    service_id service;
    decaying_count served;
    decaying_count failed;
    int consecutiveUnreachable = 0;
    time_point ejectedUntil {}; ///< Until then the server is ejected because it fails more often than the other servers of its service.
    time_point unreachableUntil {}; ///< Until then the server is skipped because a connection to it failed.
};

} // namespace radishflow
