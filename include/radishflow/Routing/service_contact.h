// Declares service_contact, a daemon's statement that it reaches backend servers of a service.
#pragma once

#include "radishflow/Support/hashing.h"
#include "radishflow/Support/ids.h"
#include "radishflow/Support/monotonic_clock.h"

#include <cstdint>

namespace radishflow {

struct service_contact {
    std::uint32_t service = 0; ///< Hash of the service's id.
    duration age {}; ///< Since the daemon last reached a server of the service.
};

inline std::uint32_t serviceHashOf(const service_id& service)
{
    return static_cast<std::uint32_t>(stableHash(service.value()));
}

} // namespace radishflow
