// Declares the rank of a backend server for requests of one affinity.
#pragma once

#include "radishflow/Routing/listed_server.h"
#include "radishflow/Support/hashing.h"

#include <cstdint>

namespace radishflow {

/// Rendezvous rank; daemons agree on it, and a server that comes or goes moves only its own requests.
inline std::uint64_t rankOf(const listed_server& server, std::uint64_t affinity)
{
    return stableHash(server.id.value(), affinity);
}

} // namespace radishflow
