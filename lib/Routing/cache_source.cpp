// Implements the search for the server that holds a prompt.
#include "radishflow/Routing/cache_source.h"

#include "radishflow/Routing/server_rank.h"

#include <chrono>

namespace radishflow {

// Servers that are listed closer to each other than this began together and hold nothing of each other's prompts.
static constexpr std::chrono::milliseconds leastAgeDifference { 2500 };
// Time in which a new server meets the prompts that it took over: twice the platform's reuse window.
static constexpr std::chrono::seconds takeoverTime { 20 };

static bool isYounger(const listed_server& server, const listed_server& other)
{
    return server.listedAt > other.listedAt + leastAgeDifference;
}

const listed_server* cacheSourceFor(std::span<const listed_server* const> servers, const listed_server& chosen, std::uint64_t affinity, time_point now)
{
    if (affinity == 0)
        return nullptr;
    const listed_server* best = nullptr;
    for (const listed_server* each : servers) {
        // A younger server holds only what it took over itself, perhaps from the chosen one.
        if (each->id == chosen.id || isYounger(*each, chosen))
            continue;
        if (!best || rankOf(*each, affinity) > rankOf(*best, affinity))
            best = each;
    }
    if (!best)
        return nullptr;
    const bool isHome = rankOf(chosen, affinity) > rankOf(*best, affinity);
    const bool tookOver = isYounger(chosen, *best) && now - chosen.listedAt < takeoverTime;
    return isHome && !tookOver ? nullptr : best;
}

} // namespace radishflow
