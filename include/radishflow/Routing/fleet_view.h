// Declares fleet_view, a snapshot of the fleet's daemons as seen by one of them.
#pragma once

#include "radishflow/Routing/fleet_daemon.h"

#include <cstddef>
#include <vector>

namespace radishflow {

/// Immutable after publication.
struct fleet_view {
    daemon_id self;
    std::vector<fleet_daemon> daemons; ///< Daemons that respond, including this one.
    /// Number of daemons among which fleet-wide limits are divided. The estimate tends to be too high, so that each share is
    /// too small rather than too large.
    std::size_t size = 1;
    bool isSizeKnown = false; ///< Not before this daemon has read how many daemons the platform lists, as it first knows only itself.

    /// Returns the size, or 0 if it is not known.
    std::size_t knownSize() const { return isSizeKnown ? size : 0; }
};

} // namespace radishflow
