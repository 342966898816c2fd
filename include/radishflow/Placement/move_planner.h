// Declares the planner of cache exports from engines whose chats are about to move to other servers.
#pragma once

#include "radishflow/Placement/bounded_rendezvous.h"
#include "radishflow/Placement/cache_sketch.h"
#include "radishflow/Placement/placement_server.h"
#include "radishflow/Placement/prefix_move.h"
#include "radishflow/Support/monotonic_clock.h"

#include <cstddef>
#include <optional>
#include <span>
#include <vector>

namespace radishflow {

struct move_planner_options {
    double exportsPerSecond = 2; ///< Maximum rate at which the engine is asked for exports.
    std::size_t maxMoves = 4096; ///< Maximum number of prefixes in a plan; the least recently stored are omitted.
};

/// Plans which prefixes of one engine are exported to the server that will rank first for them, and limits the rate
/// of the exports. Used when an engine leaves (it exports all its prefixes) and when a server returns (the other
/// engines export the prefixes that move back to it). Not thread-safe.
class move_planner {
public:
    explicit move_planner(move_planner_options options = {})
        : m_options(options)
    {
    }

    /// Replaces the plan by one for the engine at index `from`, whose cache the sketch describes. `current` and
    /// `planned` list the same servers in the same order, before and after the change; the engine leaves when
    /// planned[from] does not accept requests.
    void plan(const cache_sketch&, std::size_t from, std::span<const placement_server> current,
        std::span<const placement_server> planned, time_point now);

    /// Returns the next export, or nothing when the rate limit does not allow one yet or the plan is done.
    std::optional<prefix_move> next(time_point now);

    /// Returns the number of exports that next() has not returned yet.
    std::size_t remaining() const { return m_moves.size() - m_next; }

private:
    move_planner_options m_options;
    std::vector<prefix_move> m_moves;
    std::size_t m_next = 0;
    time_point m_nextExportAt;
};

} // namespace radishflow
