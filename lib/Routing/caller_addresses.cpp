// Implements the selection of the daemons that callers are directed to.
#include "radishflow/Routing/caller_addresses.h"

namespace radishflow {

std::vector<std::string> callerAddresses(const fleet_view& fleet, const own_caller_state& own)
{
    std::vector<std::string> all;
    std::vector<std::string> accepting;
    std::vector<std::string> reaching;
    for (const fleet_daemon& daemon : fleet.daemons) {
        const bool isSelf = daemon.id == fleet.self;
        if (isSelf && own.isStopping && fleet.daemons.size() > 1)
            continue;
        all.push_back(daemon.callerAddress);
        if (!(isSelf ? own.isReady : daemon.acceptsCallers))
            continue;
        accepting.push_back(daemon.callerAddress);
        if (isSelf ? own.reachesServers : daemon.reachesServers)
            reaching.push_back(daemon.callerAddress);
    }
    if (accepting.empty())
        return all;
    return 2 * reaching.size() >= accepting.size() ? reaching : accepting;
}

} // namespace radishflow
