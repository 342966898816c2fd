// Implements the planning of cache exports before chats move.
#include "radishflow/Placement/move_planner.h"

#include <cassert>

namespace radishflow {

// Prefixes that are only likely to be held are planned too: an export that finds nothing costs one request to an engine
// that is about to idle, and a prefix left behind costs a whole prefill.
void move_planner::plan(const cache_sketch& sketch, const placement_server& from,
    std::span<const placement_server> coming, time_point now)
{
    assert(m_options.exportsPerSecond > 0 && "a plan needs a pace");
    m_moves.clear();
    m_next = 0;
    m_earliest = now;
    const bounded_rendezvous policy;
    for (const std::uint64_t prefix : sketch.prefixes()) {
        if (m_moves.size() == m_options.mostMoves)
            return;
        const server_ranking first = policy.rank({ .chatHash = prefix, .region = from.region }, coming, 1);
        if (first.empty() || coming[first.front()].id == from.id)
            continue;
        m_moves.push_back({ .prefix = prefix, .from = from.id, .to = coming[first.front()].id });
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
