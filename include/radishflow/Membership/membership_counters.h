// Declares membership_counters, events since the start for metrics and tests.
#pragma once

#include <cstdint>

namespace radishflow {

struct membership_counters {
    std::uint64_t probes = 0;
    std::uint64_t suspicions = 0; ///< Raised by this daemon's own probes.
    std::uint64_t deaths = 0; ///< Declared by this daemon.
    std::uint64_t refutations = 0;
    std::uint64_t newIncarnations = 0; ///< Taken because others held this daemon for dead.
    std::uint64_t pauses = 0; ///< Of this process, as seen between ticks.
    std::uint64_t synchronisations = 0;
    std::uint64_t heldNews = 0; ///< News of flapping members that were held back.
    std::uint64_t strayMessages = 0; ///< Meant for another daemon or from one that uses this daemon's name.
};

} // namespace radishflow
