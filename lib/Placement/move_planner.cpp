// Implements the planning of cache exports before chats move.
#include "radishflow/Placement/move_planner.h"

#include <cassert>

namespace radishflow {

static std::optional<std::size_t> homeOf(
    std::uint64_t prefix, const region_id& region, std::span<const placement_server> servers)
{
    const server_ranking first = bounded_rendezvous {}.rank({ .chatHash = prefix, .region = region }, servers, 1);
    if (first.empty())
        return std::nullopt;
    return first.front();
}

// Prefixes that are only likely to be held are planned too: an export that finds nothing costs one request to an
// engine that is about to idle, and a prefix left behind costs a whole prefill. An engine that stays exports just
// what the change moves: chats that it took from a full home stay with it until they return there.
void move_planner::plan(const cache_sketch& sketch, std::size_t from, std::span<const placement_server> current,
    std::span<const placement_server> coming, time_point now)
{
    assert(m_options.exportsPerSecond > 0 && "a plan needs a pace");
    assert(current.size() == coming.size() && "both views hold the same servers");
    m_moves.clear();
    m_next = 0;
    m_earliest = now;
    const placement_server& source = coming[from];
    for (const std::uint64_t prefix : sketch.prefixes()) {
        if (m_moves.size() == m_options.mostMoves)
            return;
        const auto home = homeOf(prefix, source.region, coming);
        if (!home || *home == from)
            continue;
        if (source.acceptsRequests && home == homeOf(prefix, source.region, current))
            continue;
        m_moves.push_back({ .prefix = prefix, .from = source.id, .to = coming[*home].id });
    }
}

// Exports that were not asked for in time are not made up for in a burst: the engine is still serving.
std::optional<prefix_move> move_planner::next(time_point now)
{
    if (m_next == m_moves.size() || now < m_earliest)
        return std::nullopt;
    m_earliest = now + std::chrono::duration_cast<duration>(std::chrono::duration<double>(1 / m_options.exportsPerSecond));
    return m_moves[m_next++];
}

} // namespace radishflow
