// Declares the state of a request in the simulation.
#pragma once

#include "sim_time.h"

#include <cstdint>
#include <optional>

namespace radishflow {

/// State of one request of the trace.
struct simulated_request {
    std::uint32_t run = 0; ///< Number of dispatches lost to failures; events of earlier runs are ignored.
    std::uint32_t server = 0;
    std::uint32_t attempts = 0;
    std::uint32_t backoffs = 0;
    std::optional<std::uint32_t> holder;
    sim_time deadline {};
    sim_time firstToken { -1 };
};

} // namespace radishflow
