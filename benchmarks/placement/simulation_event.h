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
    RestartOverloaded,
    Tick,
    ExportTick,
};

/// An event of the simulation. Ordered for a priority queue that yields the earliest event first, and events of equal time in the order of scheduling.
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
