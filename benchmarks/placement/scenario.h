// Declares what happens to the fleet during a run.
#pragma once

#include "fleet_layout.h"
#include "sim_time.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace radishflow {

enum class change_kind : std::uint8_t {
    Leave, ///< Planned: no new work, running work finishes.
    Lose, ///< Unreachable without notice; running work is lost.
    Crash, ///< The process dies; its owner knows at once.
    Return, ///< Back in service after a restart: cold, with an empty cache.
};

struct fleet_change {
    sim_time at {};
    change_kind kind = change_kind::Leave;
    std::size_t server = 0;
};

struct scenario {
    std::string name;
    std::vector<fleet_change> changes; ///< By time.
    double surgeShare = 0;
    sim_time eventAt {}; ///< When what the scenario is about happens, and when it ends.
    sim_time eventEnd {};
    int lostZone = -1; ///< Zone whose daemons are lost too between eventAt and eventEnd.
};

/// Finds "steady", "churn", "zone-planned", "zone-lost" or "surge"; a scenario without a name for another.
scenario findScenario(const std::string& name, const fleet_layout&, sim_time length, std::uint64_t seed);

} // namespace radishflow
