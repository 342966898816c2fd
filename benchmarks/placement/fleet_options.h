// Declares the options of a simulated fleet.
#pragma once

#include "engine_model.h"
#include "sim_time.h"

#include <cstddef>
#include <cstdint>

namespace radishflow {

struct fleet_options {
    engine_options engine;
    double loadMultiple = 1.25; ///< A server accepts no request beyond this multiple of the mean load, plus one slot.
    bool enforcesBound = true; ///< If false, engines accept and queue every request, and crash when overloaded while cold.
    bool meanPerRegion = false; ///< Uses the mean load of the server's region instead of the whole service.
    sim_time meanDelay { 0.5 }; ///< Age of the mean load that owners use.
    double meanDeviations = 3; ///< Owners subtract this many standard deviations of its change from the mean.
    sim_time meanWindow { 0.5 }; ///< Owners use the minimum of the mean over this window.
    std::size_t deciders = 7;
    sim_time minViewDelay { 0.5 };
    sim_time maxViewDelay { 5 };
    std::size_t maxAttempts = 8;
    bool triesAffinityRanksFirst = false; ///< The probe sequence first queries the affinity ranks for the prefix.
    std::size_t affinityRanks = 2;
    bool importsOnSpill = false; ///< A server imports the prefix from a holder without free capacity.
    double exportsPerSecond = 0; ///< Prefixes that each engine exports per second, once a server has been ordered to leave or has returned.
    sim_time leaveDelay { 2 }; ///< Time from the operator's order until a leaving server rejects new requests.
    std::uint64_t seed = 1;
};

} // namespace radishflow
