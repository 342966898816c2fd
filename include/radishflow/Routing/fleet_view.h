// Declares fleet_view, the daemons as one of them sees them.
#pragma once

#include "radishflow/Routing/fleet_daemon.h"

#include <cstddef>
#include <vector>

namespace radishflow {

/// Immutable once it is shared.
struct fleet_view {
    daemon_id self;
    std::vector<fleet_daemon> daemons; ///< Those that live, this one included.
    std::size_t size = 1; ///< Daemons among which limits are divided; errs high, so that limits err low.
};

} // namespace radishflow
