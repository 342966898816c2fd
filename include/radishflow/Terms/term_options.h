// Declares the times and counts of ownership terms.
#pragma once

#include "radishflow/Support/monotonic_clock.h"
#include "radishflow/Terms/safety_rules.h"

#include <cstdint>

namespace radishflow {

/// Settings that every daemon of a fleet shares. observeLength must exceed termLength by the clocks' drift.
struct term_options {
    duration termLength = std::chrono::seconds { 30 }; ///< How long a renewal lets its daemon use the whole allowance.
    duration renewInterval = std::chrono::seconds { 10 };
    duration observeLength = std::chrono::seconds { 35 }; ///< How long others watch an unchanged row before it is lapsed.
    duration pollInterval = std::chrono::seconds { 1 };
    duration maxPollGap = std::chrono::seconds { 5 }; ///< A longer gap between polls restarts every observation.
    duration darkLimit = std::chrono::minutes { 30 }; ///< How long a dark share may be used after the lapse.
    duration maxRequestDuration = std::chrono::minutes { 10 }; ///< No request runs at a server for longer.
    duration arrivalMargin = std::chrono::seconds { 2 }; ///< Longest that written bytes take to a server; senders cut connections by it.
    duration rebalanceDelay = std::chrono::seconds { 20 }; ///< How long a higher rank must last before a handover.
    duration drainPatience = duration::zero(); ///< How long a handover waits for running requests.
    int window = 2; ///< Most requests of one server that are checked and not yet written.
    int maxHandovers = 1; ///< Most handovers that one daemon has under way.
    int maxCommitsPerStep = 4;
    std::uint64_t minIncarnation = 1; ///< The first incarnation is at least this.
    safety_rules rules;
};

} // namespace radishflow
