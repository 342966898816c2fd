// Implements the part of rollout_manager that records orders and responses and restricts requests.
#pragma once

#include <algorithm>
#include <utility>

namespace radishflow {

template <monotonic_clock Clock>
void rollout_manager<Clock>::recordOrder(const rollout_order& order)
{
    const std::lock_guard lock { m_mutex };
    execution& rollout = m_rollouts[order.service];
    const bool isKnown = !rollout.order.service.empty();
    // A copy of the table that another daemon hands out may be older than the known one.
    if (isKnown && order.era == rollout.order.era && order.revision < rollout.order.revision)
        return;
    if (isKnown && isSameOrder(rollout.order, order)) {
        // A store that came back from a copy may have lost the status.
        rollout.isStatusKnown = rollout.isStatusKnown && rollout.order.era == order.era;
        rollout.order = order;
        return;
    }
    std::set<version_key> formerTargets = std::move(rollout.formerTargets);
    if (isKnown && rollout.state == rollout_state::Done)
        formerTargets.clear();
    else if (isKnown)
        formerTargets.insert(targetOf(rollout.order));
    formerTargets.erase(targetOf(order));
    rollout = execution { .order = order, .seenAt = m_clock.now(), .formerTargets = std::move(formerTargets) };
    addEvent(rollout, "ordered");
}

template <monotonic_clock Clock>
void rollout_manager<Clock>::withdrawOrder(const service_id& service)
{
    const std::lock_guard lock { m_mutex };
    const auto rollout = m_rollouts.find(service);
    if (rollout == m_rollouts.end())
        return;
    addEvent(rollout->second, "withdrawn");
    m_rollouts.erase(rollout);
}

template <monotonic_clock Clock>
std::vector<service_id> rollout_manager<Clock>::orderedServices() const
{
    const std::lock_guard lock { m_mutex };
    std::vector<service_id> services;
    for (const auto& [service, rollout] : m_rollouts)
        services.push_back(service);
    return services;
}

template <monotonic_clock Clock>
void rollout_manager<Clock>::recordStatus(const service_id& service, const std::optional<rollout_status>& status)
{
    const std::lock_guard lock { m_mutex };
    const auto found = m_rollouts.find(service);
    if (found == m_rollouts.end())
        return;
    execution& rollout = found->second;
    rollout.isStatusKnown = true;
    rollout.statusReadAt = m_clock.now();
    rollout.statusRevision = status ? status->revision : 0;
    rollout.storedState.reset();
    if (!status || !belongsTo(*status, rollout.order))
        return;
    rollout.storedState = status->state;
    if (!rollout.state || !hasEnded(*rollout.state))
        rollout.startedAt = status->startedAt;
    setState(rollout, status->state);
}

// An end is never replaced, such as by an old copy of the store. It goes before a suspension that was not recorded in time: the
// servers of the other versions end once the order is done.
template <monotonic_clock Clock>
void rollout_manager<Clock>::setState(execution& rollout, rollout_state state)
{
    if (rollout.state == state || (rollout.state && hasEnded(*rollout.state)))
        return;
    rollout.state = state;
    rollout.endedAt = m_clock.now();
    addEvent(rollout, nameOf(state), rollout.suspensionReason);
}

// The operator writes an order before the servers of its target start, so the orders that were known when a version was first listed
// may lack it. It is used at once if there is no other.
template <monotonic_clock Clock>
std::set<version_key> rollout_manager<Clock>::withheldVersions(const std::vector<const listed_server*>& servers, time_point confirmedAt) const
{
    if (std::all_of(servers.begin(), servers.end(), [&](const listed_server* server) { return server->listedAt < confirmedAt; }))
        return {};
    std::set<version_key> known;
    std::set<version_key> withheld;
    for (const listed_server* server : servers)
        (server->listedAt < confirmedAt ? known : withheld).insert(versionKeyOf(server->service, server->version));
    if (known.empty())
        return {};
    std::erase_if(withheld, [&](version_key version) { return known.contains(version); });
    return withheld;
}

template <monotonic_clock Clock>
version_restriction rollout_manager<Clock>::restrictionFor(const server_list& list, const service_id& service, std::uint64_t draw, const std::optional<version_key>& pinned, time_point confirmedAt)
{
    if (!m_options.isEnabled)
        return {};
    const std::vector<const listed_server*> servers = list.eligible(service);
    const std::lock_guard lock { m_mutex };
    const auto found = m_rollouts.find(service);
    if (found == m_rollouts.end())
        return { .withheldVersions = withheldVersions(servers, confirmedAt) };
    execution& rollout = found->second;
    const version_key target = targetOf(rollout.order);
    version_restriction base { .side = rollout_side::Base, .target = target };
    std::vector<const listed_server*> targetServers = servers;
    std::erase_if(targetServers, [&](const listed_server* server) { return versionKeyOf(server->service, server->version) != target; });
    // Without servers of another version, callers could not be served.
    if (targetServers.size() == servers.size())
        return {};
    // The next order of the service may not have been read yet.
    std::vector<const listed_server*> otherServers = servers;
    std::erase_if(otherServers, [&](const listed_server* server) { return versionKeyOf(server->service, server->version) == target; });
    base.withheldVersions = withheldVersions(otherServers, confirmedAt);
    base.withheldVersions.insert(rollout.formerTargets.begin(), rollout.formerTargets.end());
    // Callers must be served.
    if (std::all_of(otherServers.begin(), otherServers.end(), [&](const listed_server* server) { return base.withheldVersions.contains(versionKeyOf(server->service, server->version)); }))
        base.withheldVersions.clear();
    const time_point now = m_clock.now();
    // The order stays in the table, and later versions may come without one.
    if (rollout.state == rollout_state::Done)
        return now - rollout.endedAt < m_options.doneTime ? version_restriction { .side = rollout_side::Target, .hasAlternative = targetServers.empty(), .target = target } : version_restriction { .withheldVersions = withheldVersions(servers, confirmedAt) };
    if (rollout.state == rollout_state::RolledBack) {
        base.endedAt = rollout.endedAt + m_options.endNoticeTime;
        return base;
    }
    if (rollout.isSuspended)
        return base;
    if (!isNoticeFresh(rollout, now))
        return base;
    if (pinned)
        return *pinned == target ? version_restriction {} : base;
    if (unitInterval(stableHash(std::to_string(rollout.order.revision), draw)) >= rollout.notice->share)
        return base;
    version_restriction restriction { .side = rollout_side::Target, .hasAlternative = true, .target = target, .withheldVersions = base.withheldVersions };
    if (rollout.notice->isTrial) {
        selectTrialServers(rollout, targetServers);
        restriction.trialServers = rollout.trialServers;
    }
    return restriction;
}

// All daemons select the same servers, by hash.
template <monotonic_clock Clock>
void rollout_manager<Clock>::selectTrialServers(execution& rollout, const std::vector<const listed_server*>& targetServers) const
{
    const bool isCurrent = rollout.trialServers && rollout.trialCandidates == targetServers.size()
        && std::all_of(rollout.trialServers->begin(), rollout.trialServers->end(), [&](const server_id& id) {
               return std::any_of(targetServers.begin(), targetServers.end(), [&](const listed_server* server) { return server->id == id; });
           });
    if (isCurrent)
        return;
    std::vector<const listed_server*> ranked = targetServers;
    std::sort(ranked.begin(), ranked.end(), [](const listed_server* left, const listed_server* right) { return stableHash(left->id.value()) < stableHash(right->id.value()); });
    ranked.resize(trialServers(m_options.schedule, ranked.size()));
    auto selected = std::make_shared<std::set<server_id>>();
    for (const listed_server* server : ranked)
        selected->insert(server->id);
    rollout.trialServers = std::move(selected);
    rollout.trialCandidates = targetServers.size();
}

template <monotonic_clock Clock>
void rollout_manager<Clock>::recordSend(const listed_server& server)
{
    if (!m_options.isEnabled)
        return;
    const std::lock_guard lock { m_mutex };
    const auto found = m_rollouts.find(server.service);
    if (found == m_rollouts.end())
        return;
    ++found->second.requests;
    if (server.version == found->second.order.target)
        ++found->second.targetRequests;
}

// A new process is slow for some time, whatever its version.
template <monotonic_clock Clock>
void rollout_manager<Clock>::recordResponse(const listed_server& server, const std::string& route, bool isFailure, std::optional<duration> pace)
{
    if (!m_options.isEnabled)
        return;
    const std::lock_guard lock { m_mutex };
    const auto found = m_rollouts.find(server.service);
    if (found == m_rollouts.end())
        return;
    execution& rollout = found->second;
    const time_point now = m_clock.now();
    const bool isSettled = now - std::max(server.listedAt, server.coldUntil) >= m_options.settlingTime;
    version_sample sample { .route = routeHashOf(route), .server = serverHashOf(server.id), .isFailure = isFailure };
    if (pace && !isFailure && isSettled)
        sample.pace = paceBucketOf(*pace);
    if (server.version != rollout.order.target) {
        route_tally& tally = rollout.base[sample.route];
        tally.route = sample.route;
        tally.add(sample);
        return;
    }
    rollout.target.push_back(sample);
    if (rollout.target.size() > m_options.maxSamples)
        rollout.target.pop_front();
}

template <monotonic_clock Clock>
template <typename InFlight>
std::vector<std::pair<service_id, rollout_evidence>> rollout_manager<Clock>::takeEvidence(const InFlight& baseInFlight)
{
    const std::lock_guard lock { m_mutex };
    std::vector<std::pair<service_id, rollout_evidence>> all;
    for (auto& [service, rollout] : m_rollouts) {
        if (rollout.state && hasEnded(*rollout.state))
            continue;
        rollout.baseInFlight = static_cast<std::uint32_t>(std::max(baseInFlight(service, rollout.order.target), 0));
        rollout_evidence seen {
            .service = serviceHashOf(service),
            .order = rollout.order.revision,
            .requests = rollout.requests,
            .targetRequests = rollout.targetRequests,
            .baseInFlight = rollout.baseInFlight,
            .base = {},
            .target = { rollout.target.begin(), rollout.target.end() },
        };
        for (const auto& [route, tally] : rollout.base)
            seen.base.push_back(tally);
        std::sort(seen.base.begin(), seen.base.end(), [](const route_tally& left, const route_tally& right) { return left.responses > right.responses; });
        seen.base.resize(std::min(seen.base.size(), m_options.maxRoutes));
        all.emplace_back(service, std::move(seen));
    }
    return all;
}

template <monotonic_clock Clock>
typename rollout_manager<Clock>::execution* rollout_manager<Clock>::find(std::uint32_t service, std::uint64_t order)
{
    const auto found = std::find_if(m_rollouts.begin(), m_rollouts.end(), [&](const auto& entry) { return serviceHashOf(entry.first) == service && entry.second.order.revision == order; });
    return found == m_rollouts.end() ? nullptr : &found->second;
}

template <monotonic_clock Clock>
void rollout_manager<Clock>::mergeEvidence(const std::string& host, const rollout_evidence& evidence)
{
    const std::lock_guard lock { m_mutex };
    if (execution* rollout = find(evidence.service, evidence.order))
        rollout->peers.insert_or_assign(host, peer_evidence { .evidence = evidence, .receivedAt = m_clock.now() });
}

template <monotonic_clock Clock>
std::vector<rollout_notice> rollout_manager<Clock>::notices() const
{
    const std::lock_guard lock { m_mutex };
    const time_point now = m_clock.now();
    std::vector<rollout_notice> known;
    for (const auto& [service, rollout] : m_rollouts) {
        if (!isNoticeFresh(rollout, now))
            continue;
        known.push_back(*rollout.notice);
        known.back().isSuspended = rollout.isSuspended;
        if (rollout.state && hasEnded(*rollout.state))
            known.back().state = *rollout.state;
        known.back().age = now - rollout.noticeAt;
        known.back().isUrgent = rollout.faultFoundAt && now - *rollout.faultFoundAt < m_options.urgentTime;
    }
    return known;
}

template <monotonic_clock Clock>
void rollout_manager<Clock>::mergeNotice(const rollout_notice& notice)
{
    const std::lock_guard lock { m_mutex };
    execution* rollout = find(notice.service, notice.order);
    if (!rollout)
        return;
    if (hasEnded(notice.state))
        setState(*rollout, notice.state);
    if (notice.isSuspended && !rollout->isSuspended)
        suspend(*rollout, "another daemon found the target worse");
    const time_point decidedAt = m_clock.now() - notice.age;
    if (rollout->notice && decidedAt <= rollout->noticeAt)
        return;
    rollout->notice = notice;
    rollout->noticeAt = decidedAt;
}

template <monotonic_clock Clock>
void rollout_manager<Clock>::suspend(execution& rollout, const std::string& reason)
{
    rollout.isSuspended = true;
    rollout.suspensionReason = reason;
    addEvent(rollout, "suspended", rollout.suspensionReason);
}

} // namespace radishflow
