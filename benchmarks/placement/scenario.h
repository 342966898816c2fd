// Declares scenario, the changes to the fleet and the load during a run.
#pragma once

#include "fleet_layout.h"
#include "sim_time.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace radishflow {

enum class change_kind : std::uint8_t {
    Leave, ///< Planned: no new requests; running requests finish.
    Lose, ///< Unreachable without notice; running requests are lost.
    Crash, ///< The process crashes; its owner detects this immediately.
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
    sim_time eventStart {}; ///< Start of the event that the scenario simulates; eventEnd is its end.
    sim_time eventEnd {};
    int lostZone = -1; ///< Zone whose daemons are also unreachable between eventStart and eventEnd.
};

/// Returns the scenario "steady", "churn", "zone-planned", "zone-lost" or "surge", or a scenario without a name for any other name.
scenario findScenario(const std::string& name, const fleet_layout&, sim_time length, std::uint64_t seed);

} // namespace radishflow
