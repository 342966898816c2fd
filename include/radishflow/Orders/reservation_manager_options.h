// Declares the options of reservation_manager.
#pragma once

#include "radishflow/Support/ids.h"
#include "radishflow/Support/monotonic_clock.h"

#include <cstddef>
#include <string>

namespace radishflow {

struct reservation_manager_options {
    daemon_id daemon;
    incarnation_number incarnation;
    std::string secret; ///< 32 random bytes that this incarnation alone knows and never stores.
    duration lifetime = std::chrono::minutes { 10 }; ///< From issue to the last redemption.
    duration retention = std::chrono::minutes { 20 }; ///< How long outcomes are kept after the expiry.
    std::size_t maximumRecords = 10'000;
    std::size_t maximumBodyBytes = std::size_t { 4 } * 1024 * 1024; ///< Of all kept bodies.
};

} // namespace radishflow
