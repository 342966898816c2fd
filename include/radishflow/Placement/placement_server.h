// Declares what an entry knows of a backend server when it chooses one; all of it may be seconds old.
#pragma once

#include "radishflow/Support/hashing.h"
#include "radishflow/Support/ids.h"

#include <cstdint>

namespace radishflow {

/// One backend server of a service with the delayed hints about it. The id must not change once it is set.
struct placement_server {
    server_id id;
    zone_id zone;
    region_id region;
    double weight = 1; ///< Share of chats relative to the other servers; 0 takes none.
    bool acceptsRequests = true; ///< Neither leaving nor in a zone that is out.
    double ramp = 1; ///< Share (0 to 1) of its chats that a returning or cold server takes.
    double knownLoad = 0; ///< Last known load level, as a share of what its owner admits.
    bool refusedLately = false; ///< Its owner refused within the time that the view's holder sets.
    std::uint64_t idHash = stableHash(id.value()); ///< Computed once, so that ranking hashes no text.
};

} // namespace radishflow
