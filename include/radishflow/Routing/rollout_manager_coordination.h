// Implements the part of rollout_manager that decides how an order goes on.
#pragma once

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

namespace radishflow {

template <monotonic_clock Clock>
bool rollout_manager<Clock>::isCoordinating(const execution& rollout, const fleet_view& fleet, time_point now) const
{
    const auto coordinators = rolloutCoordinators(fleet, rollout.order.service);
    const auto self = std::find_if(coordinators.begin(), coordinators.end(), [&](const fleet_daemon* daemon) { return daemon->id == fleet.self; });
    if (self == coordinators.end())
        return false;
    const auto rank = self - coordinators.begin();
    return now - std::max(rollout.noticeAt, rollout.seenAt) >= rank * m_options.takeoverDelay;
}

template <monotonic_clock Clock>
std::vector<rollout_action> rollout_manager<Clock>::coordinate(const server_list& list, const fleet_view& fleet)
{
    const std::lock_guard lock { m_mutex };
    const time_point now = m_clock.now();
    std::vector<rollout_action> actions;
    for (auto& [service, rollout] : m_rollouts) {
        std::erase_if(rollout.peers, [&](const auto& entry) { return now - entry.second.receivedAt > m_options.evidenceMemory; });
        const auto servers = list.eligible(service);
        const software_version& target = rollout.order.target;
        rollout.targetServers = static_cast<std::size_t>(std::count_if(servers.begin(), servers.end(), [&target](const listed_server* server) { return server->version == target; }));
        // A daemon with enough evidence of its own does not wait for a coordinator.
        if (!rollout.isSuspended && !(rollout.state && hasEnded(*rollout.state))) {
            if (const auto fault = findFault(rollout)) {
                rollout.faultFoundAt = now;
                suspend(rollout, std::to_string(fault->bad) + " of " + std::to_string(fault->responses) + (fault->isSlowness ? " responses slow" : " responses failed") + ", expected share " + std::to_string(fault->expectedShare));
            }
        }
        if (!isCoordinating(rollout, fleet, now)) {
            // The end of an order is published for some time only, and a daemon may have started later or been cut off all the while.
            const bool isUninformed = !(rollout.state && hasEnded(*rollout.state)) && !isNoticeFresh(rollout, now);
            if (isUninformed && now - std::max(rollout.statusReadAt, rollout.seenAt) >= m_options.noticeLifetime)
                actions.push_back({ .service = service, .reason = "no notice has arrived" });
            continue;
        }
        // The others may have ended the order meanwhile.
        const bool isCutOff = fleet.daemons.size() * 2 < fleet.size;
        if (isCutOff && rollout.isStatusKnown && !(rollout.state && hasEnded(*rollout.state)) && now - rollout.statusReadAt >= m_options.cutOffReadInterval)
            actions.push_back({ .service = service, .reason = "this daemon knows few others" });
        auto action = rollout.state && hasEnded(*rollout.state) ? confirmEnd(rollout, now) : decide(rollout, servers.size() - rollout.targetServers, now);
        if (action)
            actions.push_back(std::move(*action));
    }
    return actions;
}

template <monotonic_clock Clock>
std::optional<rollout_action> rollout_manager<Clock>::confirmEnd(execution& rollout, time_point now)
{
    if (now - rollout.endedAt < m_options.endNoticeTime)
        publish(rollout, { .state = *rollout.state, .share = rollout.state == rollout_state::Done ? 1.0 : 0.0 }, now);
    if (!rollout.isStatusKnown)
        return rollout_action { .service = rollout.order.service, .reason = "the store came back from a copy" };
    if (rollout.storedState == rollout.state)
        return std::nullopt;
    return recordAction(rollout, *rollout.state, "the store has lost the end of the order");
}

template <monotonic_clock Clock>
std::vector<version_sample> rollout_manager<Clock>::samplesOf(const execution& rollout) const
{
    std::vector<version_sample> samples { rollout.target.begin(), rollout.target.end() };
    for (const auto& [host, peer] : rollout.peers)
        samples.insert(samples.end(), peer.evidence.target.begin(), peer.evidence.target.end());
    return samples;
}

template <monotonic_clock Clock>
std::optional<version_fault> rollout_manager<Clock>::findFault(const execution& rollout) const
{
    const std::vector<version_sample> samples = samplesOf(rollout);
    if (samples.empty())
        return std::nullopt;
    std::map<std::uint32_t, route_tally> base = rollout.base;
    for (const auto& [host, peer] : rollout.peers) {
        for (const route_tally& tally : peer.evidence.base) {
            route_tally& sum = base[tally.route];
            sum.route = tally.route;
            sum.add(tally);
        }
    }
    std::vector<route_tally> tallies;
    tallies.reserve(base.size());
    for (const auto& [route, tally] : base)
        tallies.push_back(tally);
    version_comparison_options comparison = m_options.comparison;
    comparison.minServers = std::min<std::size_t>(std::max<std::size_t>(rollout.targetServers, 1), m_options.schedule.minTrialServers);
    return findVersionFault(tallies, samples, comparison);
}

template <monotonic_clock Clock>
bool rollout_manager<Clock>::isBaseIdle(const execution& rollout, time_point now) const
{
    return rollout.baseInFlight == 0 && std::all_of(rollout.peers.begin(), rollout.peers.end(), [&](const auto& entry) {
        return entry.second.evidence.baseInFlight == 0 || now - entry.second.receivedAt > m_options.noticeLifetime;
    });
}

// Several daemons may decide at once for a moment. Statuses are written on the condition that the store's row is the known one, so only
// one of two different ends is recorded.
template <monotonic_clock Clock>
std::optional<rollout_action> rollout_manager<Clock>::decide(execution& rollout, std::size_t baseServers, time_point now)
{
    if (!rollout.isStatusKnown)
        return rollout_action { .service = rollout.order.service, .reason = "the status of the order is not known" };
    if (!rollout.state) {
        rollout.startedAt = rollout.seenAt;
        return recordAction(rollout, rollout_state::Running, "ordered");
    }
    const duration elapsed = now - rollout.startedAt;
    const duration ramp = rollout.order.ramp;
    if (rollout.isSuspended) {
        publish(rollout, { .isSuspended = true, .isTrial = true, .share = 0 }, now);
        return recordAction(rollout, rollout_state::RolledBack, rollout.suspensionReason);
    }
    if (rollout.targetServers == 0) {
        publish(rollout, { .share = 0 }, now);
        if (elapsed < ramp)
            return std::nullopt;
        return recordAction(rollout, rollout_state::RolledBack, "no server of the target was listed in time");
    }
    if (baseServers == 0)
        return recordAction(rollout, rollout_state::Done, "no server of another version is listed");
    const std::size_t samples = samplesOf(rollout).size();
    if (rollout.trialEndedAfter == duration::zero() && canEndTrial(m_options.schedule, ramp, elapsed, samples >= m_options.minTrialSamples)) {
        rollout.trialEndedAfter = std::max(elapsed, duration { 1 });
        // A coordinator that takes over continues where the last one was.
        if (rollout.notice && !rollout.notice->isTrial)
            rollout.trialEndedAfter = std::min(rollout.trialEndedAfter, std::chrono::duration_cast<duration>(ramp * m_options.schedule.trialEnd));
        addEvent(rollout, "trial_ended", std::to_string(samples) + " responses of the target");
    }
    const rollout_step step = stepOf(m_options.schedule, ramp, elapsed, rollout.trialEndedAfter);
    if (step.phase != rollout_phase::Full)
        rollout.fullSince.reset();
    else if (!rollout.fullSince)
        rollout.fullSince = now;
    publish(rollout, { .isTrial = step.phase == rollout_phase::Trial, .share = step.share }, now);
    const bool isDue = elapsed >= ramp * m_options.schedule.dueFraction;
    if (step.phase == rollout_phase::Full && now - *rollout.fullSince >= m_options.minFullTime && (isDue || isBaseIdle(rollout, now)))
        return recordAction(rollout, rollout_state::Done, isDue ? "the time of the order is over" : "no request runs at another version");
    return std::nullopt;
}

template <monotonic_clock Clock>
std::vector<rollout_summary> rollout_manager<Clock>::summaries() const
{
    const std::lock_guard lock { m_mutex };
    const time_point now = m_clock.now();
    std::vector<rollout_summary> all;
    for (const auto& [service, rollout] : m_rollouts) {
        const std::vector<version_sample> samples = samplesOf(rollout);
        rollout_summary summary {
            .service = service,
            .target = rollout.order.target,
            .state = stateNameOf(rollout),
            .share = isNoticeFresh(rollout, now) && !rollout.isSuspended ? rollout.notice->share : 0,
            .requests = rollout.requests,
            .targetRequests = rollout.targetRequests,
            .samples = samples.size(),
            .badSamples = static_cast<std::size_t>(std::count_if(samples.begin(), samples.end(), [](const version_sample& sample) { return sample.isFailure; })),
        };
        for (const auto& [host, peer] : rollout.peers) {
            summary.requests += peer.evidence.requests;
            summary.targetRequests += peer.evidence.targetRequests;
        }
        all.push_back(std::move(summary));
    }
    return all;
}

} // namespace radishflow
