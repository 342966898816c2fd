// Declares the attributes of a backend server by which it is ranked.
#pragma once

#include "radishflow/Support/hashing.h"
#include "radishflow/Support/ids.h"

#include <cstdint>

namespace radishflow {

/// A backend server of a service with hints that may be seconds old. `id` must not change after construction, since
/// idHash is derived from it.
struct placement_server {
    server_id id;
    zone_id zone;
    region_id region;
    double weight = 1; ///< Share of chats relative to the other servers; a server of weight 0 is never ranked.
    bool acceptsRequests = true; ///< Neither leaving nor in an availability zone that is out of service.
    double ramp = 1; ///< Share (0 to 1) of its chats that a returning or cold server admits.
    double knownLoad = 0; ///< Last reported load as a share of what its owner admits.
    bool recentlyRefused = false; ///< Its owner refused a request within a period that the caller defines.
    std::uint64_t idHash = stableHash(id.value()); ///< Cached, so that ranking hashes no text.
};

} // namespace radishflow
