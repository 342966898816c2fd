// Declares the durations and bounds of ownership terms.
#pragma once

#include "radishflow/Support/monotonic_clock.h"
#include "radishflow/Terms/safety_rules.h"

#include <cstdint>

namespace radishflow {

/// Must be equal on all daemons of a fleet. observeLength must exceed termLength by more than the clocks drift apart.
struct term_options {
    duration termLength = std::chrono::seconds { 30 }; ///< How long a renewal entitles its daemon to its whole share.
    duration renewInterval = std::chrono::seconds { 10 };
    duration observeLength = std::chrono::seconds { 35 }; ///< How long a row must stay unchanged before other daemons consider it lapsed.
    duration pollInterval = std::chrono::seconds { 1 };
    duration maxPollGap = std::chrono::seconds { 5 }; ///< A longer gap between polls restarts the observation of every row.
    duration gracePeriod = std::chrono::minutes { 30 }; ///< How long the grace share may be used after the term has lapsed.
    duration maxRequestDuration = std::chrono::minutes { 10 }; ///< Upper bound of the time that a request runs at a server.
    duration arrivalMargin = std::chrono::seconds { 2 }; ///< Maximum time from write to arrival at a server; senders close connections that exceed it.
    duration rebalanceDelay = std::chrono::seconds { 20 }; ///< How long another daemon must rank higher before a handover.
    duration drainTimeout = duration::zero(); ///< How long a handover waits for running requests.
    int window = 2; ///< Maximum number of requests to one server that are admitted and not yet written.
    int maxHandovers = 1; ///< Maximum number of handovers that one daemon has in progress.
    int maxCommitsPerStep = 4;
    std::uint64_t minIncarnation = 1; ///< Lower bound of the first incarnation.
    safety_rules rules;
};

} // namespace radishflow
