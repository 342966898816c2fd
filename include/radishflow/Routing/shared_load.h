// Declares shared_load, the message in which a daemon publishes the load of a backend server to other daemons.
#pragma once

#include "radishflow/Support/hashing.h"
#include "radishflow/Support/ids.h"
#include "radishflow/Support/monotonic_clock.h"

#include <cstdint>

namespace radishflow {

struct shared_load {
    std::uint32_t server = 0; ///< serverHashOf() of the server's id.
    int requests = 0; ///< Requests of the whole fleet that run or wait at the server.
    duration age {}; ///< Time since the server reported the load.
};

inline std::uint32_t serverHashOf(const server_id& server)
{
    return static_cast<std::uint32_t>(stableHash(server.value()));
}

} // namespace radishflow
