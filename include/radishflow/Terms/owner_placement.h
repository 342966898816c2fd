// Declares owner_placement, which caches the highest-ranked daemon of every server.
#pragma once

#include "radishflow/Terms/fleet_view.h"
#include "radishflow/Terms/handover_schedule.h"

#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

namespace radishflow {

/// Recomputes the ranking only when a candidate or a server changes. Not thread-safe.
class owner_placement {
public:
    void update(std::span<const fleet_daemon> candidates, std::span<const fleet_server> servers);

    /// Returns the highest-ranked daemon of a server; null if the server is not listed or there is no candidate.
    const daemon_id* preferredOwner(const server_id&) const;

    /// Returns the servers for which a daemon ranks highest, without those that are leaving.
    std::vector<server_id> serversPreferring(const daemon_id&) const;

private:
    struct placed_server {
        daemon_id preferred;
        bool isLeaving = false;
    };

    std::uint64_t m_fingerprint = 0;
    std::unordered_map<server_id, placed_server> m_placed;
};

} // namespace radishflow
