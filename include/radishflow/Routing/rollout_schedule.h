// Declares rollout_schedule, which states what share of a service's requests the target of a roll-out gets as time passes.
#pragma once

#include "radishflow/Support/monotonic_clock.h"

#include <cstddef>

namespace radishflow {

/// Fractions are of the time that the operator sets for the order.
struct rollout_schedule {
    double trialShare = 0.06; ///< Of the requests, until the target is trusted.
    double trialEnd = 0.55; ///< Fraction at which the trial ends if it has enough samples.
    double maxTrialEnd = 0.7; ///< Fraction at which it ends without them.
    double fullFraction = 0.15; ///< Fraction after the end of the trial at which the target gets all requests.
    double dueFraction = 0.92; ///< Fraction at which the order is done, whatever still runs at other versions.
    double trialLoad = 0.8; ///< Requests per server in the trial, as a multiple of the mean over all servers of the target at full traffic.
    std::size_t minTrialServers = 2; ///< With a single server, a fault of the server cannot be distinguished from one of its version.
};

enum class rollout_phase {
    Trial,
    Ramp,
    Full,
};

struct rollout_step {
    rollout_phase phase = rollout_phase::Trial;
    double share = 0; ///< Of the requests to the target.
};

/// Returns the step at a time since the order. `trialEndedAfter` is the time at which the trial ended, or zero while it goes on.
rollout_step stepOf(const rollout_schedule&, duration ramp, duration elapsed, duration trialEndedAfter);

/// Returns whether the trial may end at a time since the order.
bool canEndTrial(const rollout_schedule&, duration ramp, duration elapsed, bool hasEnoughSamples);

/// Returns the number of servers of the target that serve the trial. Few servers show under the trial's share of the requests how
/// the version behaves under the load of all requests.
std::size_t trialServers(const rollout_schedule&, std::size_t targetServers);

} // namespace radishflow
