// Declares the refinement of a ranking by what the engines' caches hold.
#pragma once

#include "radishflow/Placement/cache_sketch.h"
#include "radishflow/Placement/placement_server.h"
#include "radishflow/Placement/server_ranking.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <span>

namespace radishflow {

struct held_preference_options {
    std::size_t ranks = 3; ///< Only the first so many ranks can come to the front.
    double fullLoad = 0.95; ///< A server whose known load is higher keeps its place.
};

/// Moves the first of the ranks that certainly holds the prefix to the front, unless it is full. stateOf(index)
/// returns a prefix_state, and Uncertain where nothing is known; what is uncertain moves nothing.
template <typename State>
void preferHeldPrefix(server_ranking& ranking, std::span<const placement_server> servers, State&& stateOf,
    held_preference_options options = {})
{
    const std::size_t ranks = std::min(options.ranks, ranking.size());
    for (std::size_t i = 0; i < ranks; ++i) {
        const std::uint32_t index = ranking[i];
        const placement_server& server = servers[index];
        if (stateOf(index) != prefix_state::Held || server.refusedLately || server.knownLoad > options.fullLoad)
            continue;
        const auto place = ranking.begin() + static_cast<std::ptrdiff_t>(i);
        std::rotate(ranking.begin(), place, place + 1);
        return;
    }
}

} // namespace radishflow
