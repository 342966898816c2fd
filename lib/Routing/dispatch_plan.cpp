// Implements the selection of the daemons that dispatch the requests of a service with few slots.
#include "radishflow/Routing/dispatch_plan.h"

#include "radishflow/Support/hashing.h"

#include <algorithm>
#include <numeric>

namespace radishflow {

// Servers that drain or are out of service count too, as their slots come back or are replaced: the plan changes rarely.
dispatch_plan planDispatch(const fleet_view& fleet, const server_list& list, const service_id& service, const dispatch_plan_options& options)
{
    const std::vector<const listed_server*> servers = list.serversOf(service);
    const int slots = std::accumulate(servers.begin(), servers.end(), 0, [](int sum, const listed_server* server) { return sum + server->slots; });
    if (slots <= 0 || static_cast<std::size_t>(slots) >= fleet.daemons.size())
        return {};
    double largest = 0;
    for (const fleet_daemon& daemon : fleet.daemons)
        largest = std::max(largest, daemon.processorShare);
    std::vector<const fleet_daemon*> ranked;
    for (const fleet_daemon& daemon : fleet.daemons) {
        if (daemon.acceptsCallers && daemon.reachesServers && daemon.processorShare >= options.minProcessorShare * largest)
            ranked.push_back(&daemon);
    }
    const auto rankOf = [&](const fleet_daemon* daemon) { return stableHash(service.value(), daemon->id.value()); };
    std::sort(ranked.begin(), ranked.end(), [&](const fleet_daemon* left, const fleet_daemon* right) { return rankOf(left) > rankOf(right); });
    const std::size_t count = std::clamp<std::size_t>(static_cast<std::size_t>(slots) / options.slotsPerDispatcher, 1, options.maxDispatchers);
    ranked.resize(std::min(ranked.size(), count));
    dispatch_plan plan;
    for (std::size_t rank = 0; rank < ranked.size(); ++rank) {
        plan.dispatchers.push_back(*ranked[rank]);
        if (ranked[rank]->id != fleet.self)
            continue;
        for (const listed_server* server : servers) {
            const auto whole = static_cast<std::size_t>(server->slots) / ranked.size();
            const auto rest = static_cast<std::size_t>(server->slots) % ranked.size();
            // The rest goes to other dispatchers at each server.
            const bool getsOneMore = (rank + stableHash(server->id.value())) % ranked.size() < rest;
            plan.ownSlots[server->id] = whole + (getsOneMore ? 1 : 0);
        }
    }
    return plan;
}

} // namespace radishflow
