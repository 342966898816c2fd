// Implements the choice of the daemons that may send to a cold backend server.
#include "radishflow/Routing/cold_senders.h"

#include "radishflow/Support/hashing.h"

#include <algorithm>

namespace radishflow {

// Each sender may burst by one request, so their number bounds what a second holds beyond the rate. Five leave
// room in the platform's slack for two more that see another fleet.
static constexpr std::size_t mostColdSenders = 5;

std::size_t coldSenderCount(const fleet_view& fleet)
{
    return std::clamp<std::size_t>(fleet.size, 1, mostColdSenders);
}

bool isColdSender(const fleet_view& fleet, const server_id& server)
{
    const std::uint64_t own = stableHash(server.value(), fleet.self.value());
    const auto ahead = std::count_if(fleet.daemons.begin(), fleet.daemons.end(), [&](const fleet_daemon& daemon) {
        return daemon.id != fleet.self && stableHash(server.value(), daemon.id.value()) > own;
    });
    return static_cast<std::size_t>(ahead) < coldSenderCount(fleet);
}

} // namespace radishflow
