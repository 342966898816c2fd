// Declares the baseline policy that tries servers in random order.
#pragma once

#include "radishflow/Placement/eligible_servers.h"
#include "radishflow/Placement/server_ranking.h"

#include <algorithm>
#include <cstddef>
#include <random>
#include <span>
#include <utility>

namespace radishflow {

/// Baseline policy: a uniformly random order of the eligible servers. Not thread-safe.
template <std::uniform_random_bit_generator Random>
class random_choice {
public:
    explicit random_choice(Random& random)
        : m_random(random)
    {
    }

    server_ranking rank(
        const placement_request& request, std::span<const placement_server> servers, std::size_t maxCount)
    {
        std::vector<std::uint32_t> eligible = eligibleServers(request, servers);
        const std::size_t count = std::min(maxCount, eligible.size());
        for (std::size_t i = 0; i < count; ++i) {
            std::uniform_int_distribution<std::size_t> pick { i, eligible.size() - 1 };
            std::swap(eligible[i], eligible[pick(m_random)]);
        }
        return { eligible.begin(), eligible.begin() + static_cast<std::ptrdiff_t>(count) };
    }

private:
    Random& m_random;
};

} // namespace radishflow
