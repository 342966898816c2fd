// Declares the planning of cache exports before chats move.
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
    double exportsPerSecond = 2; ///< Most exports that the engine is asked for.
    std::size_t mostMoves = 4096; ///< Bounds the memory of a plan; the least recently stored are left out.
};

/// Plans which prefixes of one engine go to their coming first rank, and paces the exports. The same plan serves
/// a leave (all that the leaving engine holds) and a return (what the others hold for the returning server). Not
/// thread-safe.
class move_planner {
public:
    explicit move_planner(move_planner_options options = {})
        : m_options(options)
    {
    }

    /// Starts a plan for the engine `from`, which the sketch describes, and which stays or leaves as its place in
    /// `coming` says. `current` and `coming` hold the same servers before and after the change. Takes the place of an
    /// earlier plan.
    void plan(const cache_sketch&, std::size_t from, std::span<const placement_server> current,
        std::span<const placement_server> coming, time_point now);

    /// The next export that the pace allows; none when it is too early or the plan is done.
    std::optional<prefix_move> next(time_point now);

    std::size_t left() const { return m_moves.size() - m_next; }

private:
    move_planner_options m_options;
    std::vector<prefix_move> m_moves;
    std::size_t m_next = 0;
    time_point m_earliest;
};

} // namespace radishflow
