// Declares the rendezvous rank of a backend server for requests with a given affinity.
#pragma once

#include "radishflow/Routing/listed_server.h"
#include "radishflow/Support/hashing.h"

#include <cstdint>

namespace radishflow {

/// Returns the rendezvous hash of the server and the affinity. All daemons compute the same rank, and a server that joins or leaves moves only its own requests.
inline std::uint64_t rankOf(const listed_server& server, std::uint64_t affinity)
{
    return stableHash(server.id.value(), affinity);
}

} // namespace radishflow
