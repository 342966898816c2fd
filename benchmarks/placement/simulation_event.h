// Declares the events of the simulation.
#pragma once

#include "sim_time.h"

#include <cstdint>
#include <tuple>

namespace radishflow {

enum class simulation_event_kind : std::uint8_t {
    Arrival,
    Dispatch,
    Finish,
    Change,
    StopAdmitting,
    ReturnFallen,
    Tick,
    ExportTick,
};

/// Due events come off a priority queue the earliest first, and those of one time in order of scheduling.
struct simulation_event {
    sim_time at;
    std::uint64_t order;
    simulation_event_kind kind;
    std::uint32_t subject;
    std::uint32_t run;

    bool operator<(const simulation_event& other) const
    {
        return std::tie(other.at, other.order) < std::tie(at, order);
    }
};

} // namespace radishflow
