// Declares the options of a simulated fleet.
#pragma once

#include "engine_model.h"
#include "sim_time.h"

#include <cstddef>
#include <cstdint>

namespace radishflow {

struct fleet_options {
    engine_options engine;
    double loadMultiple = 1.25; ///< A server takes no request beyond this multiple of the mean, plus one slot.
    bool keepsBound = true; ///< False: no owners; engines take what comes, queue it, and fall over when cold.
    bool meanPerRegion = false; ///< The mean of the server's region instead of the whole service.
    sim_time meanDelay { 0.5 }; ///< Age of the mean that owners know.
    double meanDeviations = 3; ///< Owners take the mean lower by so many standard deviations of its change.
    sim_time meanWindow { 0.5 }; ///< Owners use the least mean of this window.
    std::size_t deciders = 7;
    sim_time shortestViewDelay { 0.5 };
    sim_time longestViewDelay { 5 };
    std::size_t mostAttempts = 8;
    bool asksHomes = false; ///< The walk asks the owners of the home ranks for the prefix first.
    std::size_t affinityRanks = 2;
    bool importsOnSpill = false; ///< A server takes the prefix over from a full holder.
    double exportsPerSecond = 0; ///< Of each engine, before and while a server leaves or returns.
    sim_time leaveLead { 2 }; ///< Time from the operator's order until a leaving server takes no new work.
    std::uint64_t seed = 1;
};

} // namespace radishflow
