// Declares the baseline policy that tries the server with the lowest known load first.
#pragma once

#include "radishflow/Placement/eligible_servers.h"
#include "radishflow/Placement/server_ranking.h"

#include <algorithm>
#include <cstddef>
#include <random>
#include <span>

namespace radishflow {

/// Baseline policy: ranks by ascending known load, equal loads in random order. The known loads are delayed. Not
/// thread-safe.
template <std::uniform_random_bit_generator Random>
class least_loaded {
public:
    explicit least_loaded(Random& random)
        : m_random(random)
    {
    }

    server_ranking rank(
        const placement_request& request, std::span<const placement_server> servers, std::size_t maxCount)
    {
        std::vector<std::uint32_t> eligible = eligibleServers(request, servers);
        std::shuffle(eligible.begin(), eligible.end(), m_random);
        const auto end = eligible.begin() + static_cast<std::ptrdiff_t>(std::min(maxCount, eligible.size()));
        std::partial_sort(eligible.begin(), end, eligible.end(), [&](std::uint32_t a, std::uint32_t b) {
            return servers[a].knownLoad < servers[b].knownLoad;
        });
        return { eligible.begin(), end };
    }

private:
    Random& m_random;
};

} // namespace radishflow
