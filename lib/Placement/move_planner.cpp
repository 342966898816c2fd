// Implements the planner of cache exports.
#include "radishflow/Placement/move_planner.h"

#include <cassert>

namespace radishflow {

static std::optional<std::size_t> firstRankOf(
    std::uint64_t prefix, const region_id& region, std::span<const placement_server> servers)
{
    const server_ranking first = bounded_rendezvous {}.rank({ .chatHash = prefix, .region = region }, servers, 1);
    if (first.empty())
        return std::nullopt;
    return first.front();
}

// Prefixes in state Likely are planned too: an export that finds nothing costs one request to an engine that is about
// to become idle, whereas a prefix that is not exported costs a full prefill. An engine that stays exports only the
// prefixes whose first rank changes; chats that it serves because their first rank was full keep their prefixes here
// until they return there.
void move_planner::plan(const cache_sketch& sketch, std::size_t from, std::span<const placement_server> current,
    std::span<const placement_server> planned, time_point now)
{
    assert(m_options.exportsPerSecond > 0 && "exportsPerSecond must be positive");
    assert(current.size() == planned.size() && "both views must list the same servers");
    m_moves.clear();
    m_next = 0;
    m_nextExportAt = now;
    const placement_server& source = planned[from];
    for (const std::uint64_t prefix : sketch.prefixes()) {
        if (m_moves.size() == m_options.maxMoves)
            return;
        const auto firstRank = firstRankOf(prefix, source.region, planned);
        if (!firstRank || *firstRank == from)
            continue;
        if (source.acceptsRequests && firstRank == firstRankOf(prefix, source.region, current))
            continue;
        m_moves.push_back({ .prefix = prefix, .from = source.id, .to = planned[*firstRank].id });
    }
}

// Exports skipped while next() was not called are not caught up in a burst, since the engine still serves requests.
std::optional<prefix_move> move_planner::next(time_point now)
{
    if (m_next == m_moves.size() || now < m_nextExportAt)
        return std::nullopt;
    m_nextExportAt = now + std::chrono::duration_cast<duration>(std::chrono::duration<double>(1 / m_options.exportsPerSecond));
    return m_moves[m_next++];
}

} // namespace radishflow
