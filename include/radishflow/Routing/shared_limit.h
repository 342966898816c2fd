// Declares shared_limit, the message in which a daemon publishes the request limit of a backend server to other daemons.
#pragma once

#include "radishflow/Support/monotonic_clock.h"

#include <cstdint>
#include <optional>

namespace radishflow {

struct shared_limit {
    std::uint32_t server = 0; ///< serverHashOf() of the server's id.
    std::optional<double> requestsPerSecond; ///< From all daemons together; not set if the server's limit has ended.
    duration age {}; ///< Time since the server stated it.
};

} // namespace radishflow
