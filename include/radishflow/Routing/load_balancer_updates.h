// Implements the part of load_balancer that exchanges what daemons know of servers.
#pragma once

#include <algorithm>
#include <utility>

namespace radishflow {

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
