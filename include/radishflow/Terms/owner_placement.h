// Declares owner_placement, which keeps the first-ranked daemon of every server, and the schedule of handovers.
#pragma once

#include "radishflow/Terms/fleet_view.h"
#include "radishflow/Terms/handover_schedule.h"

#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

namespace radishflow {

/// Ranks anew only when a candidate or a server changes. Not thread-safe.
class owner_placement {
public:
    void update(std::span<const fleet_daemon> candidates, std::span<const fleet_server> servers);

    /// Returns null for a server that the fleet does not list, or when there is no candidate.
    const daemon_id* firstFor(const server_id&) const;

    /// Servers for which a daemon ranks first; those that are leaving are left out.
    std::vector<server_id> ranksFirstFor(const daemon_id&) const;

private:
    struct placed_server {
        daemon_id first;
        bool isLeaving = false;
    };

    std::uint64_t m_fingerprint = 0;
    std::unordered_map<server_id, placed_server> m_placed;
};

} // namespace radishflow
