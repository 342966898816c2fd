// Declares membership_counters, the numbers of protocol events since the start, for metrics and tests.
#pragma once

#include <cstdint>

namespace radishflow {

struct membership_counters {
    std::uint64_t probes = 0;
    std::uint64_t suspicions = 0; ///< Raised by this daemon's own probes.
    std::uint64_t deaths = 0; ///< Declared by this daemon.
    std::uint64_t refutations = 0;
    std::uint64_t newIncarnations = 0; ///< Adopted after other daemons declared this daemon dead.
    std::uint64_t pauses = 0; ///< Pauses of this process, detected by the time between ticks.
    std::uint64_t synchronisations = 0;
    std::uint64_t deferredUpdates = 0; ///< Updates of flapping members that were not sent at once.
    std::uint64_t strayMessages = 0; ///< Addressed to another daemon, or sent without an id or with this daemon's id.
};

} // namespace radishflow
