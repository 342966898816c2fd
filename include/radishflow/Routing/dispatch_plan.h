// Declares dispatch_plan, which states which daemons send the requests of a service with few slots to its servers.
#pragma once

#include "radishflow/Routing/fleet_view.h"
#include "radishflow/Routing/server_list.h"

#include <cstddef>
#include <map>
#include <vector>

namespace radishflow {

struct dispatch_plan_options {
    std::size_t slotsPerDispatcher = 6; ///< Of all servers together; a dispatcher with fewer wastes slots while another one has a queue.
    std::size_t maxDispatchers = 4;
    double minProcessorShare = 0.5; ///< Of the largest host's; smaller hosts do not dispatch while there are larger ones.
};

struct dispatch_plan {
    std::vector<fleet_daemon> dispatchers; ///< Empty if each daemon sends to the servers itself.
    std::map<server_id, std::size_t> ownSlots; ///< Slots of each server that this daemon may use; empty if it does not dispatch.

    bool isDispatched() const { return !dispatchers.empty(); }
    bool dispatchesItself() const { return !ownSlots.empty(); }
};

/// Plans for a service. A service is dispatched if its servers have fewer slots than the fleet has daemons: no daemon has a
/// whole slot then, so its own counts say nothing about whether a server is full. Daemons with the same view of the fleet and the
/// servers make the same plan; different plans only make servers queue or refuse.
dispatch_plan planDispatch(const fleet_view&, const server_list&, const service_id&, const dispatch_plan_options& = {});

} // namespace radishflow
