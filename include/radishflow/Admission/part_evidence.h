// Declares part_evidence, by which daemons find the prompt parts that crash backend servers.
#pragma once

#include "radishflow/Support/ids.h"
#include "radishflow/Support/monotonic_clock.h"

#include <cstdint>

namespace radishflow {

/// The crash of a server with a request in flight whose prompt has the part, or a complete response to such a request, which
/// clears the part of earlier crashes. Holds an age instead of a time, since the clocks of daemons differ.
struct part_evidence {
    std::uint64_t part = 0;
    server_id process; ///< Of the server that crashed; empty for a complete response.
    zone_id zone; ///< Availability zone of that server.
    duration age {}; ///< Since the crash or the response.

    bool isCrash() const { return !process.empty(); }
};

} // namespace radishflow
