// Implements the search for another backend server whose cache probably holds a prompt.
#include "radishflow/Routing/cache_source.h"

#include "radishflow/Routing/server_rank.h"

#include <chrono>

namespace radishflow {

// Servers whose listing times differ by less than this started together, so neither took over prompts of the other.
static constexpr std::chrono::milliseconds minAgeDifference { 2500 };
// Time after which a new server has received all recurring prompts that it took over: twice the platform's reuse window.
static constexpr std::chrono::seconds takeoverTime { 20 };

static bool isYounger(const listed_server& server, const listed_server& other)
{
    return server.listedAt > other.listedAt + minAgeDifference;
}

const listed_server* cacheSourceFor(std::span<const listed_server* const> servers, const listed_server& chosen, std::uint64_t affinity, time_point now)
{
    if (affinity == 0)
        return nullptr;
    const listed_server* best = nullptr;
    for (const listed_server* server : servers) {
        // A younger server holds only prompts that it took over itself, possibly from the chosen server.
        if (server->id == chosen.id || isYounger(*server, chosen))
            continue;
        if (!best || rankOf(*server, affinity) > rankOf(*best, affinity))
            best = server;
    }
    if (!best)
        return nullptr;
    const bool isFirstRanked = rankOf(chosen, affinity) > rankOf(*best, affinity);
    const bool mayLackPrompt = isYounger(chosen, *best) && now - chosen.listedAt < takeoverTime;
    return isFirstRanked && !mayLackPrompt ? nullptr : best;
}

const listed_server* firstOfOtherRanks(std::span<const listed_server* const> servers, const listed_server& chosen, std::uint64_t affinity)
{
    if (affinity == 0)
        return nullptr;
    const listed_server* best = nullptr;
    for (const listed_server* server : servers) {
        if (server->id != chosen.id && !isYounger(*server, chosen) && (!best || rankOf(*server, affinity) > rankOf(*best, affinity)))
            best = server;
    }
    return best;
}

} // namespace radishflow
