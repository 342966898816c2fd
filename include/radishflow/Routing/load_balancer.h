// Declares load_balancer, the load and health of the backend servers as this daemon sees them.
#pragma once

#include "radishflow/Routing/cache_source.h"
#include "radishflow/Routing/choose_server.h"
#include "radishflow/Routing/chosen_server.h"
#include "radishflow/Routing/cold_senders.h"
#include "radishflow/Routing/prompt_holder_table.h"
#include "radishflow/Routing/server_list.h"
#include "radishflow/Routing/server_outcome.h"
#include "radishflow/Routing/server_query.h"
#include "radishflow/Routing/server_record.h"
#include "radishflow/Routing/shared_load.h"
#include "radishflow/Support/ranked_mutex.h"

#include <boost/container/static_vector.hpp>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <limits>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

namespace radishflow {

struct load_balancer_options {
    duration reportLifetime = std::chrono::seconds { 3 }; ///< Age at which a load report no longer counts.
    double meanWeight = 4; ///< Own requests for which the mean counts where a server's load isn't reported.
    duration shareDelay = std::chrono::milliseconds { 300 }; ///< Mean age of a report that another daemon tells.
    duration healthHalfLife = std::chrono::seconds { 4 }; ///< Of the weight of outcomes.
    double healthPrior = 2; ///< Outcomes like those of the whole service that each server is credited with.
    double ejectMargin = 0.25; ///< Share of failures above the service's from which on a server is ejected.
    double ejectFailures = 0.9; ///< Weighted failures that it takes at least.
    duration ejectTime = std::chrono::seconds { 2 };
    duration unreachableTime = std::chrono::milliseconds { 800 }; ///< How long a server that can't be reached is passed over; doubles each time.
    int mostUnreachableDoublings = 2;
    choose_server_options choice;
};

/// Answers uneven and failing servers: keeps loads, ejects servers that fail, divides what cold ones bear, and keeps
/// prompts where they are cached.
/// Thread-safe under one lock of rank Servers.
template <monotonic_clock Clock>
class load_balancer {
public:
    explicit load_balancer(const Clock& clock, const load_balancer_options& options = {})
        : m_clock(clock)
        , m_options(options)
    {
    }

    /// Chooses a server and counts the request there until finishRequest(); nothing when none can take it now.
    std::optional<chosen_server> startRequest(const server_list& list, const server_query& query)
    {
        const std::lock_guard lock { m_mutex };
        const time_point now = m_clock.now();
        const std::vector<const listed_server*> servers = list.serversOf(query.service);
        const std::vector<server_candidate> candidates = candidatesFor(list, servers, query, now);
        const prompt_holders holders = holdersOf(list, query, now);
        const std::optional<std::size_t> chosen = chooseServer(candidates, servers.size(), query.affinity, query.tieBreak, m_options.choice, indicesOf(candidates, holders));
        if (!chosen)
            return std::nullopt;
        const listed_server& server = *candidates[*chosen].server;
        const bool isHeld = &server == holders.home || &server == holders.besides;
        const std::string cacheSource = isHeld ? std::string {} : cacheSourceAddress(servers, query, holders, server, now);
        if (query.affinity != 0)
            noteHome(list, query, holders.home, server, now);
        server_record& record = m_records[server.id];
        record.service = server.service;
        if (isColdFor(server, query, now))
            record.cold.take(now, coldRate(query));
        ++record.inFlight;
        return chosen_server { .server = server, .prompt = originOf(query, isHeld, cacheSource), .cacheSource = cacheSource };
    }

    void finishRequest(const server_id& server, server_outcome outcome)
    {
        const std::lock_guard lock { m_mutex };
        server_record& record = m_records[server];
        const time_point now = m_clock.now();
        record.inFlight = std::max(record.inFlight - 1, 0);
        if (outcome == server_outcome::Abandoned)
            return;
        if (outcome == server_outcome::Unreachable) {
            const int doublings = std::min(record.unreachableInRow++, m_options.mostUnreachableDoublings);
            record.unreachableUntil = now + m_options.unreachableTime * (1 << doublings);
            return;
        }
        record.unreachableInRow = 0;
        service_health& health = m_health[record.service];
        const bool hasFailed = outcome == server_outcome::Failed;
        (hasFailed ? record.failed : record.served).add(now, 1, m_options.healthHalfLife);
        (hasFailed ? health.failed : health.served).add(now, 1, m_options.healthHalfLife);
        if (hasFailed)
            ejectWhereFailing(record, health, now);
    }

    void recordLoadReport(const server_id& server, const load_sample& report)
    {
        const std::lock_guard lock { m_mutex };
        server_record& record = m_records[server];
        record.report = report;
        record.reportedAt = m_clock.now();
        record.inFlightAtReport = record.inFlight;
        m_unshared.insert(server);
    }

    /// Returns the reports that came since the last call, to tell other daemons.
    std::vector<shared_load> takeLoadUpdates()
    {
        const std::lock_guard lock { m_mutex };
        std::vector<shared_load> loads;
        for (const server_id& server : std::exchange(m_unshared, {})) {
            const auto record = m_records.find(server);
            if (record != m_records.end() && record->second.report)
                loads.push_back({ .server = loadHashOf(server), .requests = record->second.report->running + record->second.report->waiting });
        }
        return loads;
    }

    /// Takes reports that another daemon heard a moment ago.
    void recordPeerLoads(const std::vector<shared_load>& loads)
    {
        const std::lock_guard lock { m_mutex };
        for (const shared_load& load : loads) {
            const auto server = m_byLoadHash.find(load.server);
            if (server == m_byLoadHash.end())
                continue;
            server_record& record = m_records[server->second];
            record.report = load_sample { .running = load.requests };
            record.reportedAt = m_clock.now() - m_options.shareDelay;
            record.inFlightAtReport = record.inFlight;
        }
    }

    /// Returns prompts and their homes that other daemons are to know of, since the last call.
    std::vector<prompt_holder> takePromptUpdates()
    {
        const std::lock_guard lock { m_mutex };
        return m_homes.takeNews();
    }

    /// Takes what another daemon told of prompts. Where two know different homes, all settle on the older server.
    void mergePromptUpdates(const std::vector<prompt_holder>& homes)
    {
        const std::lock_guard lock { m_mutex };
        const time_point now = m_clock.now();
        for (const prompt_holder& home : homes) {
            if (m_byLoadHash.contains(home.server))
                m_homes.merge(home, now, [this](std::uint32_t theirs, std::uint32_t ours) { return isOlder(theirs, ours); });
        }
    }

    /// Forgets servers that are listed no longer and hold none of this daemon's requests.
    void retain(const server_list& list)
    {
        const std::lock_guard lock { m_mutex };
        std::erase_if(m_records, [&](const auto& entry) { return entry.second.inFlight == 0 && !list.servers.contains(entry.first); });
        m_byLoadHash.clear();
        for (const auto& [id, server] : list.servers) {
            m_byLoadHash.emplace(loadHashOf(id), id);
            server_record& record = m_records[id];
            if (server.processStartMs > record.processStartMs)
                record = { .processStartMs = server.processStartMs, .inFlight = record.inFlight };
        }
    }

    /// Returns the records for dumps and metrics.
    std::unordered_map<server_id, server_record> records() const
    {
        const std::lock_guard lock { m_mutex };
        return m_records;
    }

private:
    static double coldRate(const server_query& query) { return query.coldRequestsPerSecond / static_cast<double>(coldSenderCount(*query.fleet)); }

    static bool isColdFor(const listed_server& server, const server_query& query, time_point now) { return query.coldRequestsPerSecond > 0 && server.coldUntil > now; }

    struct service_health {
        decaying_count served;
        decaying_count failed;
    };

    bool isColdRefused(const listed_server& server, const server_record& record, const server_query& query, time_point now) const
    {
        return isColdFor(server, query, now) && (!isColdSender(*query.fleet, server.id) || !record.cold.hasToken(now, coldRate(query)));
    }

    // Prefers servers that are well; where there are too few of them, ejection would only overload the rest, so those
    // that fail are taken as well, and at last those that couldn't be reached.
    std::vector<server_candidate> candidatesFor(const server_list& list, std::vector<const listed_server*> eligible, const server_query& query, time_point now)
    {
        std::vector<server_candidate> well;
        std::vector<server_candidate> failing;
        std::vector<server_candidate> unreachable;
        std::erase_if(eligible, [&](const listed_server* server) { return !list.takesNewWork(*server); });
        const double mean = meanLoad(eligible, query.fleet->size);
        for (const listed_server* server : eligible) {
            const server_record& record = m_records[server->id];
            const bool isExcluded = std::find(query.excluded.begin(), query.excluded.end(), server->id) != query.excluded.end();
            if (isExcluded || isColdRefused(*server, record, query, now))
                continue;
            std::vector<server_candidate>& kind = record.unreachableUntil > now ? unreachable : record.ejectedUntil > now ? failing
                                                                                                                          : well;
            kind.push_back({ .server = server, .load = estimatedLoad(record, query.fleet->size, mean, now), .isOwnZone = server->zone == query.zone });
        }
        if (well.size() < failing.size())
            well.insert(well.end(), failing.begin(), failing.end());
        return well.empty() ? unreachable : well;
    }

    bool isOlder(std::uint32_t left, std::uint32_t right) const
    {
        const auto processStartMs = [this](std::uint32_t server) {
            const auto id = m_byLoadHash.find(server);
            const auto record = id == m_byLoadHash.end() ? m_records.end() : m_records.find(id->second);
            return record == m_records.end() ? std::numeric_limits<std::int64_t>::max() : record->second.processStartMs;
        };
        return std::pair { processStartMs(left), left } < std::pair { processStartMs(right), right };
    }

    /// Listed servers that hold a prompt, also those that take nothing new: their caches can still be copied from.
    struct prompt_holders {
        const listed_server* home = nullptr;
        const listed_server* besides = nullptr;
    };

    prompt_holders holdersOf(const server_list& list, const server_query& query, time_point now) const
    {
        if (query.affinity == 0)
            return {};
        const auto listed = [&](std::uint32_t hash) -> const listed_server* {
            const auto id = m_byLoadHash.find(hash);
            const auto server = id == m_byLoadHash.end() ? list.servers.end() : list.servers.find(id->second);
            return server == list.servers.end() || server->second.service != query.service ? nullptr : &server->second;
        };
        const auto known = m_homes.find(promptHashOf(query.affinity), now);
        return { .home = known.empty() ? nullptr : listed(known.front()), .besides = known.size() < 2 ? nullptr : listed(known.back()) };
    }

    static boost::container::static_vector<std::size_t, 2> indicesOf(const std::vector<server_candidate>& candidates, const prompt_holders& holders)
    {
        boost::container::static_vector<std::size_t, 2> indices;
        for (const listed_server* holder : { holders.home, holders.besides }) {
            const auto found = std::find_if(candidates.begin(), candidates.end(), [&](const server_candidate& each) { return each.server == holder; });
            if (found != candidates.end())
                indices.push_back(static_cast<std::size_t>(found - candidates.begin()));
        }
        return indices;
    }

    // A home that is full or fails for a moment keeps its prompts; one that takes nothing new gives them up.
    void noteHome(const server_list& list, const server_query& query, const listed_server* home, const listed_server& chosen, time_point now)
    {
        const std::uint32_t prompt = promptHashOf(query.affinity);
        const listed_server& kept = home && list.takesNewWork(*home) ? *home : chosen;
        m_homes.use({ .prompt = prompt, .server = loadHashOf(kept.id) }, now);
        m_homes.useBesides({ .prompt = prompt, .server = loadHashOf(chosen.id) });
        m_homes.tell(prompt, now);
    }

    static prompt_origin originOf(const server_query& query, bool isHeld, const std::string& cacheSource)
    {
        if (query.affinity == 0)
            return prompt_origin::None;
        if (isHeld)
            return prompt_origin::Held;
        return cacheSource.empty() ? prompt_origin::Read : prompt_origin::Copied;
    }

    bool isUnreachable(const listed_server& server, time_point now) const
    {
        const auto record = m_records.find(server.id);
        return record != m_records.end() && record->second.unreachableUntil > now;
    }

    std::string cacheSourceAddress(std::vector<const listed_server*> servers, const server_query& query, const prompt_holders& holders, const listed_server& chosen, time_point now) const
    {
        for (const listed_server* holder : { holders.home, holders.besides }) {
            if (holder && !isUnreachable(*holder, now))
                return holder->address;
        }
        std::erase_if(servers, [&](const listed_server* server) { return isUnreachable(*server, now); });
        const listed_server* source = cacheSourceFor(servers, chosen, query.affinity, now);
        return source ? source->address : std::string {};
    }

    // The mean load of the servers, from this daemon's own requests and the size of the fleet.
    double meanLoad(const std::vector<const listed_server*>& servers, std::size_t fleetSize)
    {
        double own = 0;
        for (const listed_server* server : servers)
            own += m_records[server->id].inFlight;
        return servers.empty() ? 0 : own * static_cast<double>(fleetSize) / static_cast<double>(servers.size());
    }

    // A report shows the other daemons' requests. Without a fresh one, this daemon's few requests say little of a server
    // in a large fleet, so they are weighed against the mean: the estimate of a Poisson rate from one daemon's sample
    // with a gamma prior around the mean.
    double estimatedLoad(const server_record& record, std::size_t fleetSize, double mean, time_point now) const
    {
        if (record.report && now - record.reportedAt < m_options.reportLifetime) {
            const int others = std::max(record.report->running + record.report->waiting - record.inFlightAtReport, 0);
            return others + record.inFlight;
        }
        if (mean <= 0)
            return 0;
        const double prior = m_options.meanWeight;
        return (prior + record.inFlight) / (prior / mean + 1 / static_cast<double>(fleetSize));
    }

    // Compares a server with the rest of its service, some of which fail a part of their requests when they are well.
    void ejectWhereFailing(server_record& record, const service_health& health, time_point now) const
    {
        const double failed = record.failed.at(now, m_options.healthHalfLife);
        const double served = record.served.at(now, m_options.healthHalfLife);
        const double otherFailed = std::max(health.failed.at(now, m_options.healthHalfLife) - failed, 0.0);
        const double otherServed = std::max(health.served.at(now, m_options.healthHalfLife) - served, 0.0);
        const double usual = otherFailed + otherServed > 0 ? otherFailed / (otherFailed + otherServed) : 0;
        const double share = (failed + m_options.healthPrior * usual) / (failed + served + m_options.healthPrior);
        if (failed >= m_options.ejectFailures && share > usual + m_options.ejectMargin)
            record.ejectedUntil = now + m_options.ejectTime;
    }

    const Clock& m_clock;
    load_balancer_options m_options;
    mutable ranked_mutex m_mutex { lock_rank::Servers };
    std::unordered_map<server_id, server_record> m_records;
    std::unordered_map<service_id, service_health> m_health;
    std::unordered_map<std::uint32_t, server_id> m_byLoadHash;
    prompt_holder_table m_homes;
    std::unordered_set<server_id> m_unshared; ///< Servers whose last report wasn't told to others.
};

} // namespace radishflow
