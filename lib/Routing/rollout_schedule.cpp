// Implements the schedule of a roll-out.
#include "radishflow/Routing/rollout_schedule.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace radishflow {

static double fractionOf(duration elapsed, duration ramp)
{
    return std::chrono::duration<double>(elapsed) / std::chrono::duration<double>(std::max(ramp, duration { 1 }));
}

rollout_step stepOf(const rollout_schedule& schedule, duration ramp, duration elapsed, duration trialEndedAfter)
{
    if (trialEndedAfter == duration::zero())
        return { .phase = rollout_phase::Trial, .share = schedule.trialShare };
    const double sinceTrial = fractionOf(elapsed - trialEndedAfter, ramp);
    if (sinceTrial >= schedule.fullFraction)
        return { .phase = rollout_phase::Full, .share = 1 };
    return { .phase = rollout_phase::Ramp, .share = std::lerp(schedule.trialShare, 1.0, std::max(sinceTrial, 0.0) / schedule.fullFraction) };
}

bool canEndTrial(const rollout_schedule& schedule, duration ramp, duration elapsed, bool hasEnoughSamples)
{
    return fractionOf(elapsed, ramp) >= (hasEnoughSamples ? schedule.trialEnd : schedule.maxTrialEnd);
}

std::size_t trialServers(const rollout_schedule& schedule, std::size_t targetServers)
{
    const auto count = static_cast<std::size_t>(std::ceil(schedule.trialShare * static_cast<double>(targetServers) / schedule.trialLoad));
    return std::min(std::max(count, schedule.minTrialServers), targetServers);
}

} // namespace radishflow
