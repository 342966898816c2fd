// Declares the messages by which daemons execute a roll-out together: the evidence that each sends to the coordinators, and the
// notices in which a coordinator states how to go on.
#pragma once

#include "radishflow/Routing/rollout_order.h"
#include "radishflow/Routing/version_sample.h"
#include "radishflow/Support/monotonic_clock.h"

#include <cstdint>
#include <vector>

namespace radishflow {

/// What one daemon has seen of an order so far.
struct rollout_evidence {
    std::uint32_t service = 0; ///< serviceHashOf() of the service.
    std::uint64_t order = 0; ///< Revision of the order.
    std::uint64_t requests = 0; ///< Sent to the service since the order.
    std::uint64_t targetRequests = 0; ///< Those of them that were sent to the target.
    std::uint32_t baseInFlight = 0; ///< Requests that still run at other versions.
    std::vector<route_tally> base; ///< Responses of the other versions by route.
    std::vector<version_sample> target; ///< The newest responses of the target.
};

/// How to go on with an order; the newest notice counts. A suspension and the end of an order hold for the rest of it.
struct rollout_notice {
    std::uint32_t service = 0; ///< serviceHashOf() of the service.
    std::uint64_t order = 0; ///< Revision of the order.
    rollout_state state = rollout_state::Running; ///< As recorded in the store.
    bool isSuspended = false; ///< The target was found worse and gets no more requests.
    bool isTrial = true; ///< Only the trial's servers of the target get requests.
    double share = 0; ///< Of the requests to the target.
    duration age {}; ///< Since a coordinator decided so.
    bool isUrgent = false; ///< To be sent to all daemons at once. Not part of the message.
};

} // namespace radishflow
