// Declares callerAddresses, which selects the daemons that callers are directed to.
#pragma once

#include "radishflow/Routing/fleet_view.h"

#include <string>
#include <vector>

namespace radishflow {

/// What this daemon knows of itself; its entry in the view may be older.
struct own_caller_state {
    bool isReady = false;
    bool isStopping = false;
    bool reachesServers = true;
};

/// Returns the addresses of the daemons that accept callers and reach backend servers. The others are included if they are more
/// than half, as the few that reach servers could not bear all callers; they forward the requests. If no daemon is known to accept
/// callers, returns all addresses, since any is better than none. A daemon that is stopping names itself only if it knows no other.
std::vector<std::string> callerAddresses(const fleet_view&, const own_caller_state&);

} // namespace radishflow
