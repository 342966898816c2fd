// Declares relay_parts, what the relay of one daemon works with.
#pragma once

#include "radishflow/Metrics/relay_metrics.h"
#include "radishflow/Relay/crash_guard.h"
#include "radishflow/Relay/retry_shares.h"
#include "radishflow/Relay/server_connections.h"
#include "radishflow/Relay/stop_state.h"
#include "radishflow/Routing/key_freshness.h"
#include "radishflow/Routing/load_balancer.h"
#include "radishflow/Routing/shared_routing.h"
#include "radishflow/Support/boottime_clock.h"

namespace radishflow {

/// All are thread-safe and outlive the relay.
struct relay_parts {
    zone_id zone; ///< The daemon's own.
    shared_routing& routing;
    load_balancer<boottime_clock>& balancer;
    retry_shares<boottime_clock>& retries;
    const key_freshness& freshness;
    crash_guard& crashes;
    server_connections& connections;
    const stop_state& stop;
    relay_metrics& metrics;
};

} // namespace radishflow
