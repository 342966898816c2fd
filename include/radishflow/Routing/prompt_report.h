// Declares prompt_report, the message in which a daemon publishes when a backend server last read a prompt.
#pragma once

#include "radishflow/Support/monotonic_clock.h"

#include <cstdint>

namespace radishflow {

struct prompt_report {
    std::uint32_t prompt = 0; ///< promptHashOf() of the request's affinity.
    std::uint32_t server = 0; ///< serverHashOf() of the server's id.
    duration age {}; ///< Time since the last request with the prompt was sent to the server.
};

} // namespace radishflow
