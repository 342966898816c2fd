// Declares part_evidence and the decisions and changes that follow from it, by which daemons find the prompt parts that crash backend servers.
#pragma once

#include "radishflow/Support/ids.h"
#include "radishflow/Support/monotonic_clock.h"

#include <cstddef>
#include <cstdint>
#include <vector>

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

/// Parts that have been in flight at the same crashes; a request that has all of them is refused.
struct quarantined_parts {
    std::vector<std::uint64_t> parts; ///< Sorted.
    std::size_t crashes = 0;

    friend bool operator==(const quarantined_parts&, const quarantined_parts&) = default;
};

/// Crashes that are to be added to the fleet's table, and those that a response has cleared.
struct part_table_changes {
    std::vector<part_evidence> added;
    std::vector<part_evidence> removed;
};

} // namespace radishflow
