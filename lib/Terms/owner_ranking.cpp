// Implements the ranking of owners. Proximity takes precedence over the hash: the loss of a zone then affects servers
// together with their owners, and the remaining servers need no takeover.
#include "radishflow/Terms/owner_ranking.h"

#include "radishflow/Support/hashing.h"

#include <cstdint>
#include <tuple>

namespace radishflow {

static int proximity(const fleet_server& server, const fleet_daemon& daemon)
{
    if (daemon.zone == server.zone)
        return 2;
    return daemon.region == server.region ? 1 : 0;
}

const fleet_daemon* highestRankedDaemon(const fleet_server& server, std::span<const fleet_daemon> candidates)
{
    const fleet_daemon* first = nullptr;
    std::tuple<int, std::uint64_t> best;
    for (const fleet_daemon& daemon : candidates) {
        const std::tuple<int, std::uint64_t> rank { proximity(server, daemon), stableHash(server.server.value(), daemon.daemon.value()) };
        if (first && rank <= best)
            continue;
        first = &daemon;
        best = rank;
    }
    return first;
}

} // namespace radishflow
