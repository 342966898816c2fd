// Implements the draw of a backend server by the response times of the servers.
#include "radishflow/Routing/draw_server.h"

#include "radishflow/Support/hashing.h"

#include <algorithm>
#include <numeric>
#include <vector>

namespace radishflow {

// Of the objective; the requests that a server gets although it would be late show when it is quick again.
static constexpr double minTimeLeft = 0.2;

std::size_t drawServer(std::span<const double> delays, double objective, std::uint64_t tieBreak)
{
    std::vector<double> weights;
    weights.reserve(delays.size());
    for (const double delay : delays)
        weights.push_back(std::max(objective - delay, objective * minTimeLeft));
    double drawn = unitInterval(stableHash("delay", tieBreak)) * std::accumulate(weights.begin(), weights.end(), 0.0);
    for (std::size_t index = 0; index + 1 < weights.size(); ++index) {
        drawn -= weights[index];
        if (drawn < 0)
            return index;
    }
    return weights.size() - 1;
}

} // namespace radishflow
