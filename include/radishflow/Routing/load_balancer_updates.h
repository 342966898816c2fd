// Implements the part of load_balancer that records what this daemon and others know of servers.
#pragma once

#include <algorithm>
#include <utility>

namespace radishflow {

template <monotonic_clock Clock>
void load_balancer<Clock>::finishRequest(const server_id& server, server_outcome outcome, std::optional<duration> held)
{
    const std::lock_guard lock { m_mutex };
    server_record& record = m_records[server];
    const time_point now = m_clock.now();
    record.inFlight.finish(now);
    if (held)
        recordRequestTime(record.service, *held);
    if (held && usesDelays(record.service)) {
        // A request that ended without a response shows how long one takes at least.
        const bool exceedsEstimate = outcome != server_outcome::Unreachable && std::chrono::duration<double>(*held).count() > record.delay.lastSeconds();
        if (outcome == server_outcome::Served || exceedsEstimate)
            record.delay.recordOwn(*held, now);
    }
    if (outcome == server_outcome::Abandoned)
        return;
    if (outcome == server_outcome::Unreachable) {
        const int doublings = std::min(record.consecutiveUnreachable++, m_options.maxUnreachableDoublings);
        record.unreachableUntil = now + m_options.unreachableTime * (1 << doublings);
        return;
    }
    record.consecutiveUnreachable = 0;
    service_health& health = m_health[record.service];
    const bool hasFailed = outcome == server_outcome::Failed;
    (hasFailed ? record.failed : record.served).add(now, 1, m_options.healthHalfLife);
    (hasFailed ? health.failed : health.served).add(now, 1, m_options.healthHalfLife);
    if (hasFailed)
        ejectIfFailing(record, health, now);
}

template <monotonic_clock Clock>
void load_balancer<Clock>::retain(const server_list& list)
{
    const std::lock_guard lock { m_mutex };
    std::erase_if(m_records, [&](const auto& entry) { return entry.second.inFlight.current() == 0 && !list.servers.contains(entry.first); });
    m_limits.retain([&](const server_id& server) { return list.servers.contains(server); });
    m_identities.retain(list, m_clock.now());
    m_idsByHash.clear();
    for (const auto& [id, server] : list.servers) {
        m_idsByHash.emplace(serverHashOf(id), id);
        server_record& record = m_records[id];
        // The start time of a restarted process is an earlier one if the clock of its host was set back.
        if (server.processStartMs == record.processStartMs)
            continue;
        record = { .processStartMs = server.processStartMs, .inFlight = record.inFlight };
        m_promptDirectory.forgetServer(serverHashOf(id));
    }
}

template <monotonic_clock Clock>
int load_balancer<Clock>::inFlightAtOtherVersions(const server_list& list, const service_id& service, const software_version& version) const
{
    const std::lock_guard lock { m_mutex };
    int count = 0;
    for (const listed_server* server : list.serversOf(service)) {
        const auto record = m_records.find(server->id);
        if (server->version != version && record != m_records.end())
            count += record->second.inFlight.current();
    }
    return count;
}

template <monotonic_clock Clock>
std::vector<shared_load> load_balancer<Clock>::takeLoadUpdates()
{
    const std::lock_guard lock { m_mutex };
    const time_point now = m_clock.now();
    std::vector<shared_load> loads;
    for (const server_id& server : std::exchange(m_unpublished, {})) {
        const auto record = m_records.find(server);
        if (record != m_records.end() && record->second.report)
            loads.push_back({ .server = serverHashOf(server), .requests = record->second.report->running + record->second.report->waiting, .age = now - record->second.reportedAt });
    }
    std::sort(loads.begin(), loads.end(), [](const shared_load& left, const shared_load& right) { return left.age < right.age; });
    return loads;
}

template <monotonic_clock Clock>
void load_balancer<Clock>::recordPeerLoads(const std::vector<shared_load>& loads, bool forwardsLoads)
{
    const std::lock_guard lock { m_mutex };
    const time_point now = m_clock.now();
    for (const shared_load& load : loads) {
        const auto server = m_idsByHash.find(load.server);
        if (server == m_idsByHash.end())
            continue;
        server_record& record = m_records[server->second];
        if (record.report && now - load.age <= record.reportedAt)
            continue;
        record.report = load_sample { .running = load.requests };
        record.reportedAt = now - load.age;
        record.inFlightAtReport = record.inFlight.at(record.reportedAt);
        recordForForecast(record);
        if (forwardsLoads && load.age < m_options.maxForwardedAge)
            m_unpublished.insert(server->second);
    }
}

template <monotonic_clock Clock>
std::vector<shared_delay> load_balancer<Clock>::takeDelayUpdates()
{
    std::vector<shared_delay> delays;
    if (!m_isContended)
        return delays;
    const std::lock_guard lock { m_mutex };
    const time_point now = m_clock.now();
    for (auto& [id, record] : m_records) {
        if (const auto update = record.delay.takeUpdate(serverHashOf(id), now))
            delays.push_back(*update);
    }
    return delays;
}

template <monotonic_clock Clock>
void load_balancer<Clock>::recordPeerDelays(const std::vector<shared_delay>& delays)
{
    const std::lock_guard lock { m_mutex };
    const time_point now = m_clock.now();
    for (const shared_delay& delay : delays) {
        if (const auto id = m_idsByHash.find(delay.server); id != m_idsByHash.end())
            m_records[id->second].delay.record(delay.delay, now - delay.age);
    }
}

template <monotonic_clock Clock>
void load_balancer<Clock>::mergePromptReports(const server_list& list, const std::vector<prompt_report>& reports)
{
    const std::lock_guard lock { m_mutex };
    const time_point now = m_clock.now();
    for (const prompt_report& report : reports) {
        const auto id = m_idsByHash.find(report.server);
        const auto server = id == m_idsByHash.end() ? list.servers.end() : list.servers.find(id->second);
        // The list may be older than the one that retain() has received.
        if (server != list.servers.end() && !isFormerProcess(server->second, m_records[id->second]) && server->second.listedAt <= now - report.age + m_options.listingDelay)
            m_promptDirectory.merge(report, now);
    }
}

template <monotonic_clock Clock>
void load_balancer<Clock>::mergePromptUpdates(const std::vector<prompt_holder>& updates)
{
    const std::lock_guard lock { m_mutex };
    const time_point now = m_clock.now();
    for (const prompt_holder& update : updates) {
        if (m_idsByHash.contains(update.server))
            m_promptHolders.merge(update, now, [this](std::uint32_t theirs, std::uint32_t ours) { return isOlder(theirs, ours); });
    }
}

template <monotonic_clock Clock>
void load_balancer<Clock>::recordPeerLimits(const server_list& list, const std::vector<shared_limit>& limits)
{
    const std::lock_guard lock { m_mutex };
    for (const shared_limit& limit : limits) {
        const auto id = m_idsByHash.find(limit.server);
        const auto server = id == m_idsByHash.end() ? list.servers.end() : list.servers.find(id->second);
        if (server != list.servers.end())
            m_limits.merge(server->second, limit, m_clock.now());
    }
}

template <monotonic_clock Clock>
void load_balancer<Clock>::forgetFailures(const service_id& service)
{
    const std::lock_guard lock { m_mutex };
    m_health.erase(service);
    for (auto& [id, record] : m_records) {
        if (record.service != service)
            continue;
        record.consecutiveUnreachable = 0;
        record.unreachableUntil = {};
        record.ejectedUntil = {};
        record.failed = {};
    }
}

} // namespace radishflow
