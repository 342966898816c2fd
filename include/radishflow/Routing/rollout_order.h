// Declares rollout_order, the operator's order to move the requests of a service to another version of its software, and the state
// of its execution.
#pragma once

#include "radishflow/Support/ids.h"
#include "radishflow/Support/monotonic_clock.h"

#include <chrono>
#include <cstdint>

namespace radishflow {

struct rollout_order {
    service_id service;
    software_version target;
    std::chrono::milliseconds ramp { 0 }; ///< Time within which the target is to get all requests.
    std::uint64_t revision = 0; ///< Store revision of the order; identifies it within an era of the store.
    std::uint64_t era = 0; ///< Of the store. Revisions of two eras cannot be compared.
};

/// Daemons exchange the numbers of the states.
enum class rollout_state : std::int32_t {
    Running = 0,
    Done = 1, ///< The target gets all requests; servers of other versions end.
    RolledBack = 2, ///< The target gets no requests.
};

inline bool hasEnded(rollout_state state) { return state != rollout_state::Running; }

/// State of an order as it is recorded in the store.
struct rollout_status {
    service_id service;
    software_version target;
    rollout_state state = rollout_state::Running;
    std::uint64_t order = 0; ///< Revision of the order.
    std::uint64_t era = 0; ///< Of the order's revision.
    time_point startedAt {}; ///< When the order was first seen by the daemon that recorded it.
    std::uint64_t revision = 0; ///< Store revision of the status itself; 0 if the store has none.
};

inline const char* nameOf(rollout_state state)
{
    switch (state) {
    case rollout_state::Running:
        return "running";
    case rollout_state::Done:
        return "done";
    case rollout_state::RolledBack:
        break;
    }
    return "rolled_back";
}

} // namespace radishflow
