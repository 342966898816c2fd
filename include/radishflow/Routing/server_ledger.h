// Declares server_ledger, the load and health of the backend servers as this daemon sees them.
#pragma once

#include "radishflow/Routing/cache_source.h"
#include "radishflow/Routing/choose_server.h"
#include "radishflow/Routing/chosen_server.h"
#include "radishflow/Routing/cold_senders.h"
#include "radishflow/Routing/server_list.h"
#include "radishflow/Routing/server_outcome.h"
#include "radishflow/Routing/server_query.h"
#include "radishflow/Routing/server_record.h"
#include "radishflow/Support/ranked_mutex.h"

#include <algorithm>
#include <chrono>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace radishflow {

struct server_ledger_options {
    duration reportLifetime = std::chrono::seconds { 3 }; ///< Age at which a load report no longer counts.
    duration healthHalfLife = std::chrono::seconds { 2 }; ///< Of the weight of outcomes.
    double ejectFailures = 2.5; ///< Weighted failures from which on a server may be ejected.
    double ejectShare = 0.5; ///< Share of failures from which on it is.
    duration ejectTime = std::chrono::seconds { 2 };
    duration unreachableTime = std::chrono::milliseconds { 800 }; ///< How long a server that can't be reached is passed over.
    choose_server_options choice;
};

/// Answers uneven and failing servers: keeps loads, ejects servers that fail, and divides what cold ones bear.
/// Thread-safe under one lock of rank Servers.
template <monotonic_clock Clock>
class server_ledger {
public:
    explicit server_ledger(const Clock& clock, const server_ledger_options& options = {})
        : m_clock(clock)
        , m_options(options)
    {
    }

    /// Chooses a server and counts the request there until finish(); nothing when none can take it now.
    std::optional<chosen_server> begin(const server_list& list, const server_query& query)
    {
        const std::lock_guard lock { m_mutex };
        const time_point now = m_clock.now();
        std::vector<server_candidate> candidates = candidatesFor(list, query, now, false);
        if (candidates.empty())
            candidates = candidatesFor(list, query, now, true);
        const std::optional<std::size_t> chosen = chooseServer(candidates, query.affinity, query.tieBreak, m_options.choice);
        if (!chosen)
            return std::nullopt;
        const listed_server& server = *candidates[*chosen].server;
        server_record& record = m_records[server.id];
        if (isColdFor(server, query, now))
            record.cold.take(now, coldRate(query));
        ++record.inFlight;
        return chosen_server { .server = server, .cacheSource = cacheSourceAddress(list, query, server, now) };
    }

    void finish(const server_id& server, server_outcome outcome)
    {
        const std::lock_guard lock { m_mutex };
        server_record& record = m_records[server];
        const time_point now = m_clock.now();
        record.inFlight = std::max(record.inFlight - 1, 0);
        if (outcome == server_outcome::Served)
            record.served.add(now, 1, m_options.healthHalfLife);
        if (outcome == server_outcome::Failed)
            record.failed.add(now, 1, m_options.healthHalfLife);
        if (outcome == server_outcome::Unreachable)
            record.ejectedUntil = std::max(record.ejectedUntil, now + m_options.unreachableTime);
        ejectWhereFailing(record, now);
    }

    void noteReport(const server_id& server, const load_sample& report)
    {
        const std::lock_guard lock { m_mutex };
        server_record& record = m_records[server];
        record.report = report;
        record.reportedAt = m_clock.now();
        record.inFlightAtReport = record.inFlight;
    }

    /// Forgets servers that are listed no longer and hold none of this daemon's requests.
    void retain(const server_list& list)
    {
        const std::lock_guard lock { m_mutex };
        std::erase_if(m_records, [&](const auto& entry) { return entry.second.inFlight == 0 && !list.servers.contains(entry.first); });
        for (const auto& [id, server] : list.servers) {
            server_record& record = m_records[id];
            if (server.bornAt > record.bornAt)
                record = { .bornAt = server.bornAt, .inFlight = record.inFlight };
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

    std::vector<server_candidate> candidatesFor(const server_list& list, const server_query& query, time_point now, bool withEjected)
    {
        std::vector<server_candidate> candidates;
        for (const listed_server* server : list.eligible(query.service)) {
            const server_record& record = m_records[server->id];
            if (std::find(query.excluded.begin(), query.excluded.end(), server->id) != query.excluded.end())
                continue;
            if (!withEjected && record.ejectedUntil > now)
                continue;
            if (isColdFor(*server, query, now) && (!isColdSender(*query.fleet, server->id) || !record.cold.hasToken(now, coldRate(query))))
                continue;
            candidates.push_back({ .server = server, .load = estimatedLoad(record, query.fleet->size, now), .isOwnZone = server->zone == query.zone });
        }
        return candidates;
    }

    std::string cacheSourceAddress(const server_list& list, const server_query& query, const listed_server& chosen, time_point now) const
    {
        std::vector<const listed_server*> servers = list.serversOf(query.service);
        std::erase_if(servers, [&](const listed_server* server) {
            const auto record = m_records.find(server->id);
            return record != m_records.end() && record->second.ejectedUntil > now;
        });
        const listed_server* source = cacheSourceFor(servers, chosen, query.affinity, now);
        return source ? source->address : std::string {};
    }

    // A report shows the other daemons' requests; without a fresh one they are taken to send as much as this one.
    double estimatedLoad(const server_record& record, std::size_t fleetSize, time_point now) const
    {
        if (record.report && now - record.reportedAt < m_options.reportLifetime) {
            const int others = std::max(record.report->running + record.report->waiting - record.inFlightAtReport, 0);
            return others + record.inFlight;
        }
        return static_cast<double>(record.inFlight) * static_cast<double>(fleetSize);
    }

    void ejectWhereFailing(server_record& record, time_point now) const
    {
        const double failed = record.failed.at(now, m_options.healthHalfLife);
        const double served = record.served.at(now, m_options.healthHalfLife);
        if (failed >= m_options.ejectFailures && failed >= m_options.ejectShare * (failed + served))
            record.ejectedUntil = std::max(record.ejectedUntil, now + m_options.ejectTime);
    }

    const Clock& m_clock;
    server_ledger_options m_options;
    mutable ranked_mutex m_mutex { lock_rank::Servers };
    std::unordered_map<server_id, server_record> m_records;
};

} // namespace radishflow
