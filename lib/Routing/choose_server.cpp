// Implements the choice of a backend server by prompt affinity and load.
#include "radishflow/Routing/choose_server.h"

#include "radishflow/Routing/server_rank.h"
#include "radishflow/Support/hashing.h"

#include <algorithm>
#include <limits>
#include <numeric>

namespace radishflow {

static std::size_t leastLoaded(std::span<const server_candidate> candidates, std::uint64_t tieBreak, const choose_server_options& options)
{
    std::size_t best = 0;
    double bestLoad = std::numeric_limits<double>::max();
    for (std::size_t step = 0; step < candidates.size(); ++step) {
        const std::size_t index = (step + tieBreak) % candidates.size();
        const double load = candidates[index].load + (candidates[index].isLocalZone ? 0 : options.zonePenalty);
        if (load < bestLoad) {
            best = index;
            bestLoad = load;
        }
    }
    return best;
}

static std::size_t leastLoadedOfSample(std::span<const server_candidate> candidates, std::uint64_t tieBreak, const choose_server_options& options)
{
    std::size_t best = 0;
    double bestLoad = std::numeric_limits<double>::max();
    for (std::size_t draw = 0; draw < options.sampleSize; ++draw) {
        const std::size_t index = stableHash("sample", tieBreak + draw) % candidates.size();
        const double load = candidates[index].load + (candidates[index].isLocalZone ? 0 : options.zonePenalty);
        if (load < bestLoad) {
            best = index;
            bestLoad = load;
        }
    }
    return best;
}

// A server reports its load with the response to a request that it has just begun, and not again before the next one, so a
// report exceeds the average over time by that request.
static double averageLoadOf(const server_candidate& candidate)
{
    constexpr double reportedRequest = 1;
    return candidate.reportAge ? std::max(candidate.load - reportedRequest, 0.0) : candidate.load;
}

double meanLoadOf(std::span<const server_candidate> candidates, std::size_t serversOfService)
{
    if (candidates.empty())
        return 0;
    const double total = std::accumulate(candidates.begin(), candidates.end(), 0.0, [](double sum, const server_candidate& candidate) { return sum + averageLoadOf(candidate); });
    return total / static_cast<double>(std::max(serversOfService, candidates.size()));
}

// All daemons of the fleet see a server's load late, and the same one. With a threshold they would all use a server up to it
// and beyond, and then all avoid it. A falling share keeps the requests that the others send meanwhile few.
static bool acceptsRequest(const load_range& range, const server_candidate& candidate, double mean, std::uint64_t tieBreak)
{
    const double full = range.fullMultiple * mean + range.fullSlack;
    const double max = range.maxMultiple * mean + range.maxSlack;
    if (candidate.load <= full)
        return true;
    if (candidate.load > max)
        return false;
    return unitInterval(stableHash(candidate.server->id.value(), tieBreak)) * (max - full) < max - candidate.load;
}

std::optional<std::size_t> chooseServer(std::span<const server_candidate> candidates, std::size_t serversOfService, std::uint64_t affinity, std::uint64_t tieBreak, const choose_server_options& options, std::span<const std::size_t> holders)
{
    if (candidates.empty())
        return std::nullopt;
    if (affinity == 0)
        return leastLoaded(candidates, tieBreak, options);
    const double mean = meanLoadOf(candidates, serversOfService);
    for (const std::size_t holder : holders) {
        if (acceptsRequest(options.holder, candidates[holder], mean, tieBreak))
            return holder;
    }
    std::optional<std::size_t> best;
    std::optional<std::size_t> second;
    const auto rank = [&](std::size_t index) { return rankOf(*candidates[index].server, affinity); };
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const bool isAboveSecond = !second || rank(index) > rank(*second);
        const bool isAboveBest = !best || rank(index) > rank(*best);
        if (!isAboveBest && (!options.choosesOfTwo || !isAboveSecond))
            continue;
        if (!acceptsRequest(options.ranked, candidates[index], mean, tieBreak))
            continue;
        second = isAboveBest ? best : std::optional { index };
        if (isAboveBest)
            best = index;
    }
    if (options.choosesOfTwo && second && candidates[*second].load < candidates[*best].load)
        return second;
    if (best)
        return best;
    return options.sampleSize > 0 ? leastLoadedOfSample(candidates, tieBreak, options) : leastLoaded(candidates, tieBreak, options);
}

} // namespace radishflow
