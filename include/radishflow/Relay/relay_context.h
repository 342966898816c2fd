// Declares relay_context, the shared objects that the relay of one daemon uses.
#pragma once

#include "radishflow/Metrics/relay_metrics.h"
#include "radishflow/Relay/body_memory.h"
#include "radishflow/Relay/crash_quarantine.h"
#include "radishflow/Relay/forwarding_settings.h"
#include "radishflow/Relay/response_memory.h"
#include "radishflow/Relay/response_times.h"
#include "radishflow/Relay/retry_shares.h"
#include "radishflow/Relay/server_access.h"
#include "radishflow/Relay/server_connection_pool.h"
#include "radishflow/Relay/slot_dispatch.h"
#include "radishflow/Relay/stop_state.h"
#include "radishflow/Relay/stream_origins.h"
#include "radishflow/Routing/key_freshness.h"
#include "radishflow/Routing/load_balancer.h"
#include "radishflow/Routing/rollout_manager.h"
#include "radishflow/Routing/shared_routing.h"
#include "radishflow/Support/boottime_clock.h"

#include <functional>

namespace radishflow {

/// All referenced objects are thread-safe and outlive the relay.
struct relay_context {
    zone_id zone; ///< Availability zone of this daemon.
    shared_routing& routing;
    load_balancer<boottime_clock>& balancer;
    retry_shares<boottime_clock>& retries;
    const key_freshness& freshness;
    crash_quarantine& crashes;
    server_connection_pool& connections; ///< To servers, and to the daemons to which requests are forwarded.
    server_access& access;
    rollout_manager<boottime_clock>& rollouts;
    slot_dispatch& slots;
    const forwarding_settings& forwarding;
    const stream_origins& origins;
    const std::function<bool(const listed_server&)>& confirmsProcess; ///< Returns whether the server states that the process which its entry names runs; may query it.
    body_memory& requestBodies;
    response_memory& bufferedResponses;
    response_times<boottime_clock>& responseTimes;
    const stop_state& stop;
    relay_metrics& metrics;
};

} // namespace radishflow
