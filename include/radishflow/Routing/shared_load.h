// Declares shared_load, a backend server's load as one daemon tells it to another.
#pragma once

#include "radishflow/Support/hashing.h"
#include "radishflow/Support/ids.h"

#include <cstdint>

namespace radishflow {

struct shared_load {
    std::uint32_t server = 0; ///< loadHashOf() its id.
    int requests = 0; ///< Running and waiting there, from the whole fleet.
};

inline std::uint32_t loadHashOf(const server_id& server)
{
    return static_cast<std::uint32_t>(stableHash(server.value()));
}

} // namespace radishflow
