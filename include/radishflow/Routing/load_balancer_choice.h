// Implements the part of load_balancer that estimates loads and chooses servers.
#pragma once

#include <algorithm>
#include <chrono>
#include <cmath>
#include <limits>
#include <utility>

namespace radishflow {

template <monotonic_clock Clock>
std::optional<chosen_server> load_balancer<Clock>::startRequest(const server_list& list, const server_query& query)
{
    const std::lock_guard lock { m_mutex };
    const time_point now = m_clock.now();
    const std::vector<const listed_server*> servers = list.serversOf(query.service);
    const std::vector<server_candidate> candidates = candidatesFor(list, servers, query, now);
    const std::optional<double> limitedRate = limitedRateOf(list, query, now);
    priority_gate& gate = m_gates[query.service];
    gate.countArrival(query.priority, now);
    if (limitedRate && !gate.admits(query.priority, *limitedRate, now))
        return std::nullopt;
    const listed_holders holders = holdersOf(list, query, now);
    std::optional<std::size_t> chosen = indexToProbe(candidates, now);
    choose_server_options choice = m_options.choice;
    if (m_isContended) {
        choice.choosesOfTwo = true;
        choice.holder = m_options.contendedHolder;
        choice.sampleSize = m_options.contendedSample;
    }
    // A daemon that has just started may know their loads from others only.
    const bool hasReports = std::any_of(candidates.begin(), candidates.end(), [](const server_candidate& candidate) { return candidate.reportAge.has_value(); });
    if (!chosen && !candidates.empty() && query.affinity == 0 && query.objective > duration::zero() && usesDelays(query.service) && !hasReports)
        chosen = drawCandidate(candidates, query, now);
    if (!chosen)
        chosen = chooseServer(candidates, servers.size(), query.affinity, query.tieBreak, choice, candidateIndicesOf(candidates, holders, query.tieBreak));
    if (!chosen)
        return std::nullopt;
    const listed_server& server = *candidates[*chosen].server;
    const bool isHeld = holders.hasPrompt(server);
    const std::string cacheSource = isHeld ? std::string {} : cacheSourceAddress(servers, query, holders, server, now);
    if (query.affinity != 0)
        recordHolders(list, query, holders.primary, server, now);
    server_record& record = m_records[server.id];
    record.service = server.service;
    if (isCold(server, query, now))
        record.coldShare.consumeToken(now, coldRate(query));
    m_limits.consumeToken(server, *query.fleet, now);
    if (limitedRate)
        gate.consume(query.priority, *limitedRate, now);
    record.inFlight.start(now);
    return chosen_server { .server = server, .prompt = originOf(query, isHeld, cacheSource), .cacheSource = cacheSource, .basis = basisOf(candidates, *chosen, servers.size()) };
}

template <monotonic_clock Clock>
std::optional<duration> load_balancer<Clock>::timeToFirstServer(const server_list& list, const server_query& query)
{
    const std::lock_guard lock { m_mutex };
    const time_point now = m_clock.now();
    const std::optional<double> limitedRate = limitedRateOf(list, query, now);
    std::optional<duration> first;
    for (const listed_server* server : list.eligible(query.service)) {
        const bool isAccepting = m_restrictions.accepts(*server, now);
        if (isAccepting && !m_limits.isLimited(*server))
            return std::nullopt;
        const auto pauseEnd = m_restrictions.pausedUntil(*server, now);
        const auto wait = !isAccepting ? (pauseEnd ? std::optional { *pauseEnd - now } : std::nullopt) : m_limits.timeToSend(*server, *query.fleet, now);
        if (wait && (!first || *wait < *first))
            first = wait;
    }
    if (!limitedRate)
        return first;
    // Another daemon may send to the servers if this one may not.
    const duration toServer = first.value_or(m_options.otherDaemonRetryAfter);
    return std::max({ toServer, m_gates[query.service].retryAfter(query.priority, *limitedRate, now), m_options.minRetryAfter });
}

// This daemon's own requests show at once which servers are slow, as those have not responded yet; the delays show it a moment later, but for all
// daemons.
template <monotonic_clock Clock>
std::size_t load_balancer<Clock>::drawCandidate(const std::vector<server_candidate>& candidates, const server_query& query, time_point now) const
{
    const auto inFlightAt = [&](const server_candidate& candidate) { return m_records.at(candidate.server->id).inFlight.current(); };
    const auto delayOf = [&](const server_candidate& candidate) -> const response_delay& { return m_records.at(candidate.server->id).delay; };
    double sum = 0;
    int recent = 0;
    for (const server_candidate& candidate : candidates) {
        if (!delayOf(candidate).isRecent(now))
            continue;
        sum += delayOf(candidate).lastSeconds();
        ++recent;
    }
    const double usual = recent == 0 ? 0 : sum / recent;
    const auto least = std::min_element(candidates.begin(), candidates.end(), [&](const server_candidate& left, const server_candidate& right) { return inFlightAt(left) < inFlightAt(right); });
    std::vector<double> delays;
    std::vector<std::size_t> indices;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        if (inFlightAt(candidates[index]) > inFlightAt(*least))
            continue;
        delays.push_back(delayOf(candidates[index]).secondsAt(now, usual));
        indices.push_back(index);
    }
    return indices[drawServer(delays, std::chrono::duration<double>(query.objective).count(), query.tieBreak)];
}

// Healthy servers are preferred. If fewer servers are healthy than ejected, ejection would only overload the healthy
// ones, so the ejected servers are included. Unreachable servers are used only if there are no others.
template <monotonic_clock Clock>
std::vector<server_candidate> load_balancer<Clock>::candidatesFor(const server_list& list, std::vector<const listed_server*> eligible, const server_query& query, time_point now)
{
    std::vector<server_candidate> healthy;
    std::vector<server_candidate> ejected;
    std::vector<server_candidate> unreachable;
    std::erase_if(eligible, [&](const listed_server* server) { return !list.takesNewWork(*server) || !m_restrictions.accepts(*server, now); });
    const double mean = meanLoad(eligible, query.fleet->size);
    const double reported = m_isContended ? meanReport(eligible, now) : 0;
    for (const listed_server* server : eligible) {
        const server_record& record = m_records[server->id];
        const bool isOtherVersion = query.version && versionKeyOf(server->service, server->version) != *query.version;
        const bool isExcluded = isOtherVersion || (query.allowed && !query.allowed->contains(server->id)) || !query.restriction.admits(*server) || std::find(query.excluded.begin(), query.excluded.end(), server->id) != query.excluded.end();
        if (isExcluded || isFormerProcess(*server, record) || isColdLimited(*server, record, query, now))
            continue;
        if (query.needsKnownProcess && !m_identities.isKnown(*server)) {
            m_identities.recordNeed(server->id);
            continue;
        }
        if (m_limits.timeToSend(*server, *query.fleet, now) != duration::zero()) {
            m_limits.countSkip(*server);
            continue;
        }
        std::vector<server_candidate>& group = record.unreachableUntil > now ? unreachable : record.ejectedUntil > now ? ejected
                                                                                                                       : healthy;
        group.push_back({ .server = server, .load = estimatedLoad(record, query.fleet->size, mean, reported, now), .reportAge = reportAge(record, now), .isLocalZone = server->zone == query.zone });
    }
    if (healthy.size() < ejected.size())
        healthy.insert(healthy.end(), ejected.begin(), ejected.end());
    return healthy.empty() && !query.allowed ? unreachable : healthy;
}

template <monotonic_clock Clock>
std::optional<double> load_balancer<Clock>::limitedRateOf(const server_list& list, const server_query& query, time_point now)
{
    if (m_limits.isEmpty())
        return std::nullopt;
    double rate = 0;
    bool hasServers = false;
    for (const listed_server* server : list.eligible(query.service)) {
        if (!m_restrictions.accepts(*server, now))
            continue;
        if (!m_limits.isLimited(*server))
            return std::nullopt;
        hasServers = true;
        rate += m_limits.shareOf(*server, *query.fleet, now);
    }
    return hasServers ? std::optional { rate } : std::nullopt;
}

// An unknown start time (0) counts as the oldest and a server without a record as the newest. Equal start times are
// ordered by hash, so that all daemons agree.
template <monotonic_clock Clock>
bool load_balancer<Clock>::isOlder(std::uint32_t left, std::uint32_t right) const
{
    const auto processStartMs = [this](std::uint32_t server) {
        const auto id = m_idsByHash.find(server);
        const auto record = id == m_idsByHash.end() ? m_records.end() : m_records.find(id->second);
        return record == m_records.end() ? std::numeric_limits<std::int64_t>::max() : record->second.processStartMs;
    };
    return std::pair { processStartMs(left), left } < std::pair { processStartMs(right), right };
}

template <monotonic_clock Clock>
typename load_balancer<Clock>::listed_holders load_balancer<Clock>::holdersOf(const server_list& list, const server_query& query, time_point now) const
{
    if (query.affinity == 0)
        return {};
    const auto findListed = [&](std::uint32_t hash) -> const listed_server* {
        const auto id = m_idsByHash.find(hash);
        const auto server = id == m_idsByHash.end() ? list.servers.end() : list.servers.find(id->second);
        return server == list.servers.end() || server->second.service != query.service ? nullptr : &server->second;
    };
    listed_holders holders;
    const auto add = [&](std::uint32_t hash, bool hasRead) {
        if (const listed_server* server = findListed(hash))
            holders.all.push_back({ .server = server, .hasRead = hasRead });
    };
    if (m_isContended) {
        for (const prompt_directory::known_holder& known : m_promptDirectory.find(promptHashOf(query.affinity), now))
            add(known.server, known.hasRead);
        return holders;
    }
    const auto hashes = m_promptHolders.find(promptHashOf(query.affinity), now);
    for (const std::uint32_t hash : hashes)
        add(hash, true);
    holders.primary = hashes.empty() ? nullptr : findListed(hashes.front());
    return holders;
}

// All daemons see the loads of the holders late, and the same ones. If each took the least loaded one, a hot prompt would overrun its holders in
// turns, so a request takes the less loaded of two that are drawn.
template <monotonic_clock Clock>
std::vector<std::size_t> load_balancer<Clock>::candidateIndicesOf(const std::vector<server_candidate>& candidates, const listed_holders& holders, std::uint64_t tieBreak) const
{
    std::vector<std::size_t> indices;
    indices.reserve(holders.all.size());
    for (const typename listed_holders::holder& holder : holders.all) {
        const auto found = std::find_if(candidates.begin(), candidates.end(), [&](const server_candidate& candidate) { return candidate.server == holder.server; });
        if (found != candidates.end())
            indices.push_back(static_cast<std::size_t>(found - candidates.begin()));
    }
    if (!m_isContended)
        return indices;
    const auto draw = [&](std::size_t index) { return stableHash(candidates[index].server->id.value(), tieBreak); };
    std::sort(indices.begin(), indices.end(), [&](std::size_t left, std::size_t right) { return draw(left) < draw(right); });
    if (indices.size() > 1 && candidates[indices[1]].load < candidates[indices[0]].load)
        std::swap(indices[0], indices[1]);
    return indices;
}

// A primary holder that is overloaded or temporarily failing keeps its prompts. One that accepts no new requests is
// replaced by the chosen server.
template <monotonic_clock Clock>
void load_balancer<Clock>::recordHolders(const server_list& list, const server_query& query, const listed_server* primary, const listed_server& chosen, time_point now)
{
    const std::uint32_t prompt = promptHashOf(query.affinity);
    if (m_isContended) {
        m_promptDirectory.expect(prompt, serverHashOf(chosen.id), now);
        return;
    }
    const listed_server& kept = primary && list.takesNewWork(*primary) ? *primary : chosen;
    m_promptHolders.recordPrimary({ .prompt = prompt, .server = serverHashOf(kept.id) }, now);
    m_promptHolders.recordSecondary({ .prompt = prompt, .server = serverHashOf(chosen.id) });
    m_promptHolders.queueUpdate(prompt, now);
}

template <monotonic_clock Clock>
std::string load_balancer<Clock>::cacheSourceAddress(std::vector<const listed_server*> servers, const server_query& query, const listed_holders& holders, const listed_server& chosen, time_point now) const
{
    if (const listed_server* holder = holderToCopyFrom(holders, chosen, now))
        return holder->address;
    std::erase_if(servers, [&](const listed_server* server) { return isUnreachable(*server, now); });
    const listed_server* source = m_isContended ? firstOfOtherRanks(servers, chosen, query.affinity) : cacheSourceFor(servers, chosen, query.affinity, now);
    return source ? source->address : std::string {};
}

// A server that still reads the prompt has a part of it at most. A copy between availability zones uses the slower links. Unless the fleet shares
// its directory of prompts, the primary holder comes first, whatever its zone.
template <monotonic_clock Clock>
const listed_server* load_balancer<Clock>::holderToCopyFrom(const listed_holders& holders, const listed_server& chosen, time_point now) const
{
    const listed_server* best = nullptr;
    std::pair<bool, bool> bestQuality;
    for (const typename listed_holders::holder& holder : holders.all) {
        if (holder.server == &chosen || isUnreachable(*holder.server, now))
            continue;
        if (!m_isContended)
            return holder.server;
        const std::pair quality { holder.hasRead, holder.server->zone == chosen.zone };
        if (best && quality <= bestQuality)
            continue;
        best = holder.server;
        bestQuality = quality;
    }
    return best;
}

template <monotonic_clock Clock>
std::optional<std::size_t> load_balancer<Clock>::indexToProbe(const std::vector<server_candidate>& candidates, time_point now) const
{
    const auto found = std::find_if(candidates.begin(), candidates.end(), [&](const server_candidate& candidate) { return m_limits.needsProbe(*candidate.server, now); });
    return found == candidates.end() ? std::nullopt : std::optional { static_cast<std::size_t>(found - candidates.begin()) };
}

template <monotonic_clock Clock>
load_basis load_balancer<Clock>::basisOf(const std::vector<server_candidate>& candidates, std::size_t chosen, std::size_t serversOfService)
{
    const auto reported = std::count_if(candidates.begin(), candidates.end(), [](const server_candidate& candidate) { return candidate.reportAge.has_value(); });
    return {
        .load = candidates[chosen].load,
        .meanLoad = meanLoadOf(candidates, serversOfService),
        .reportAge = candidates[chosen].reportAge,
        .candidates = candidates.size(),
        .reportedCandidates = static_cast<std::size_t>(reported),
    };
}

template <monotonic_clock Clock>
double load_balancer<Clock>::meanReport(const std::vector<const listed_server*>& servers, time_point now) const
{
    double total = 0;
    int reports = 0;
    for (const listed_server* server : servers) {
        const auto record = m_records.find(server->id);
        if (record == m_records.end() || !reportAge(record->second, now))
            continue;
        total += std::max(record->second.report->running + record->second.report->waiting - 1, 0);
        ++reports;
    }
    return reports == 0 ? 0 : total / reports;
}

// A recent report includes the requests of other daemons. It comes only with a response, so a server that gets no new
// requests reports nothing while its load falls; the report's weight therefore falls with its age. Without one, the few
// requests of this daemon are a weak sample of a server's load in a large fleet, so they are weighted against the mean:
// the load is estimated as a Poisson rate from this daemon's sample with a gamma prior around the mean.
template <monotonic_clock Clock>
double load_balancer<Clock>::estimatedLoad(const server_record& record, std::size_t fleetSize, double mean, double reported, time_point now) const
{
    const double weight = m_options.meanWeight;
    const double withoutReport = mean > 0 ? (weight + record.inFlight.current()) / (weight / mean + 1 / static_cast<double>(fleetSize)) : 0;
    const auto age = reportAge(record, now);
    if (!age)
        return withoutReport;
    if (m_isContended) {
        const auto requestTime = m_requestTimes.find(record.service);
        return record.inFlight.current() + record.forecast.othersAt(now, requestTime == m_requestTimes.end() ? m_options.usualRequestTime : requestTime->second, reported);
    }
    const int others = std::max(record.report->running + record.report->waiting - record.inFlightAtReport, 0);
    const double agedPart = std::chrono::duration<double>(*age) / std::chrono::duration<double>(m_options.reportLifetime);
    return std::lerp(static_cast<double>(others + record.inFlight.current()), withoutReport, agedPart);
}

// Compares the server with the rest of its service, because the healthy servers of some services fail a part of their
// requests as well.
template <monotonic_clock Clock>
void load_balancer<Clock>::ejectIfFailing(server_record& record, const service_health& health, time_point now) const
{
    const double failed = record.failed.at(now, m_options.healthHalfLife);
    const double served = record.served.at(now, m_options.healthHalfLife);
    const double otherFailed = std::max(health.failed.at(now, m_options.healthHalfLife) - failed, 0.0);
    const double otherServed = std::max(health.served.at(now, m_options.healthHalfLife) - served, 0.0);
    const double serviceRate = otherFailed + otherServed > 0 ? otherFailed / (otherFailed + otherServed) : 0;
    const double rate = (failed + m_options.healthPrior * serviceRate) / (failed + served + m_options.healthPrior);
    if (failed >= m_options.ejectFailures && rate > serviceRate + m_options.ejectMargin)
        record.ejectedUntil = now + m_options.ejectTime;
}

} // namespace radishflow
