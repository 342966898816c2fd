// Implements the selection of the daemons that may send requests to a cold backend server.
#include "radishflow/Routing/cold_senders.h"

#include "radishflow/Support/hashing.h"

#include <algorithm>

namespace radishflow {

// Each sender may exceed its share by a burst of one request, so the number of senders limits the requests in a second
// beyond the rate. Five senders leave room in the platform's slack for two more daemons whose fleet view differs.
static constexpr std::size_t maxColdSenders = 5;

std::size_t coldSenderCount(const fleet_view& fleet)
{
    return std::clamp<std::size_t>(fleet.size, 1, maxColdSenders);
}

bool isColdSender(const fleet_view& fleet, const server_id& server)
{
    // A daemon that has just started knows only itself and would take the whole rate, like each of those that start with it.
    return fleet.isSizeKnown && isAmongSenders(fleet, server, coldSenderCount(fleet));
}

bool isAmongSenders(const fleet_view& fleet, const server_id& server, std::size_t senders)
{
    const std::uint64_t own = stableHash(server.value(), fleet.self.value());
    const auto higherRanked = std::count_if(fleet.daemons.begin(), fleet.daemons.end(), [&](const fleet_daemon& daemon) {
        return daemon.id != fleet.self && stableHash(server.value(), daemon.id.value()) > own;
    });
    return static_cast<std::size_t>(higherRanked) < senders;
}

} // namespace radishflow
