// Declares load_balancer, which chooses backend servers for requests and tracks their load and health.
#pragma once

#include "radishflow/Routing/cache_source.h"
#include "radishflow/Routing/choose_server.h"
#include "radishflow/Routing/chosen_server.h"
#include "radishflow/Routing/cold_senders.h"
#include "radishflow/Routing/draw_server.h"
#include "radishflow/Routing/priority_gate.h"
#include "radishflow/Routing/process_identities.h"
#include "radishflow/Routing/prompt_directory.h"
#include "radishflow/Routing/prompt_holder_table.h"
#include "radishflow/Routing/server_limit_table.h"
#include "radishflow/Routing/server_list.h"
#include "radishflow/Routing/server_outcome.h"
#include "radishflow/Routing/server_query.h"
#include "radishflow/Routing/server_record.h"
#include "radishflow/Routing/server_restrictions.h"
#include "radishflow/Routing/shared_load.h"
#include "radishflow/Support/ranked_mutex.h"

#include <boost/container/static_vector.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cmath>
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
    duration reportLifetime = std::chrono::seconds { 3 }; ///< Maximum age of a load report that is used.
    double meanWeight = 4; ///< Weight of the mean load, in requests of this daemon, when a server's load is estimated without a report.
    duration maxForwardedAge = std::chrono::milliseconds { 1500 }; ///< Maximum age of another daemon's load report that is published again.
    duration healthHalfLife = std::chrono::seconds { 4 }; ///< Half-life of the weight of a request's outcome.
    double healthPrior = 2; ///< Number of outcomes with the service's failure rate that are added to those of each server.
    double ejectMargin = 0.25; ///< Amount by which a server's failure rate must exceed that of the rest of its service for ejection.
    double ejectFailures = 0.9; ///< Minimum weighted number of failures for ejection.
    duration ejectTime = std::chrono::seconds { 2 };
    duration unreachableTime = std::chrono::milliseconds { 800 }; ///< Time for which an unreachable server is skipped; doubles with each consecutive failure to connect.
    int maxUnreachableDoublings = 2;
    duration otherDaemonRetryAfter = std::chrono::milliseconds { 500 }; ///< When callers return if only other daemons may send to the servers.
    duration minRetryAfter = std::chrono::milliseconds { 100 }; ///< Minimum time until callers return if all servers have reached their limits.
    double requestTimeWeight = 0.05; ///< Weight of the newest request in the mean time of a service's requests.
    duration usualRequestTime = std::chrono::milliseconds { 700 }; ///< Assumed before any has ended.
    duration listingDelay = std::chrono::seconds { 2 }; ///< By which daemons may differ in when they first see a server listed.
    load_range contendedHolder { .fullMultiple = 1.1, .fullSlack = 2, .maxMultiple = 1.6, .maxSlack = 3 }; ///< As choose_server_options::holder, while the balancer is set to contended: other servers copy the prompt from a holder that is known.
    std::size_t contendedSample = 3; ///< As choose_server_options::sampleSize, while the balancer is set to contended.
    choose_server_options choice;
};

/// Balances requests over the servers of a service. It estimates the load of each server, ejects failing servers, keeps
/// to this daemon's share of the request rate of cold servers, and sends prompts to the servers that cache them.
/// Thread-safe under one lock of rank Servers.
template <monotonic_clock Clock>
class load_balancer {
public:
    explicit load_balancer(const Clock& clock, const load_balancer_options& options = {})
        : m_clock(clock)
        , m_options(options)
    {
    }

    /// Chooses a server and counts the request as in flight there until finishRequest(). Returns nothing if no server can
    /// take the request now.
    std::optional<chosen_server> startRequest(const server_list& list, const server_query& query);

    /// Ends a request that startRequest() sent to the server and records its outcome, and for how long the server had it if that is
    /// known.
    void finishRequest(const server_id& server, server_outcome outcome, std::optional<duration> held = {});

    /// Returns the number of requests of this daemon in flight at the servers of a service that have another version.
    int inFlightAtOtherVersions(const server_list& list, const service_id& service, const software_version& version) const;

    /// Discards the failures recorded for the servers of a service, since they were failures of this daemon's path to them.
    void forgetFailures(const service_id& service);

    /// Records that the server has said that it leaves; this process of it gets no more requests.
    void recordLeaving(const listed_server& server)
    {
        const std::lock_guard lock { m_mutex };
        m_restrictions.recordLeaving(server, m_clock.now());
    }

    /// Records that a connection to the server which was begun at a time could not be established; another process may run there soon.
    void recordConnectFailure(const listed_server& server, time_point begunAt)
    {
        const std::lock_guard lock { m_mutex };
        m_identities.recordConnectFailure(server, begunAt);
    }

    /// Makes the queries to the servers of a service for their processes due at once.
    void resetIdentification(const server_list& list, const service_id& service)
    {
        const std::lock_guard lock { m_mutex };
        m_identities.resetIntervals(list, service, m_clock.now());
    }

    /// Returns the servers of the list to query now for the start of their process, as requests need to know which one runs.
    std::vector<listed_server> takeServersToIdentify(const server_list& list, std::size_t maxCount)
    {
        const std::lock_guard lock { m_mutex };
        return m_identities.takeDueQueries(list, m_clock.now(), maxCount);
    }

    /// Records the start of the process in the response to a query that was sent at a time; 0 if the server does not state it.
    void recordProcess(const listed_server& server, std::int64_t processStartMs, time_point queriedAt)
    {
        const std::lock_guard lock { m_mutex };
        m_identities.recordProcess(server, processStartMs, queriedAt);
    }

    /// Records that the server has not responded to a query for its process that was sent at a time.
    void recordSilence(const listed_server& server, time_point queriedAt)
    {
        const std::lock_guard lock { m_mutex };
        m_identities.recordSilence(server, queriedAt);
    }

    /// Returns whether the server has just stated that the process which its entry names runs.
    bool hasJustStatedProcess(const listed_server& server) const
    {
        const std::lock_guard lock { m_mutex };
        return m_identities.hasJustStated(server, m_clock.now());
    }

    /// Records that all entries of the list were renewed since a time.
    void recordRenewals(const server_list& list, time_point renewedSince)
    {
        const std::lock_guard lock { m_mutex };
        m_identities.recordRenewals(list, renewedSince);
    }

    /// Records that the server wants no requests from this daemon for some time.
    void recordPause(const listed_server& server, duration pause)
    {
        const std::lock_guard lock { m_mutex };
        const time_point now = m_clock.now();
        m_restrictions.recordPause(server, now + pause, now);
    }

    /// Returns when this daemon may send to the first of the servers of a service that all take no requests from it now, because
    /// they asked for a pause or their limits are reached; nothing if some have neither.
    std::optional<duration> timeToFirstServer(const server_list& list, const server_query& query);

    /// Records the request limit that a server stated in a response to this daemon; nothing if it stated none.
    void recordLimit(const listed_server& server, std::optional<double> requestsPerSecond)
    {
        const std::lock_guard lock { m_mutex };
        m_limits.record(server, requestsPerSecond, m_clock.now());
    }

    /// Records request limits that another daemon published.
    void recordPeerLimits(const server_list& list, const std::vector<shared_limit>& limits);

    /// Returns the request limits to publish to other daemons.
    std::vector<shared_limit> takeLimitUpdates()
    {
        const std::lock_guard lock { m_mutex };
        return m_limits.takeUpdates(m_clock.now());
    }

    /// Returns what to log about request limits since the last call.
    std::vector<limit_event> takeLimitEvents()
    {
        const std::lock_guard lock { m_mutex };
        return m_limits.takeEvents(m_clock.now());
    }

    /// Returns the number of servers that have a request limit.
    std::size_t limitedServers() const
    {
        const std::lock_guard lock { m_mutex };
        return m_limits.limitedServers();
    }

    /// Records a load report that this daemon received from the server itself.
    void recordLoadReport(const server_id& server, const load_sample& report)
    {
        const std::lock_guard lock { m_mutex };
        server_record& record = m_records[server];
        record.report = report;
        record.reportedAt = m_clock.now();
        record.inFlightAtReport = record.inFlight.current();
        recordForForecast(record);
        m_reportingServices.insert(record.service);
        if (report.slowdown)
            setContended();
        m_unpublished.insert(server);
    }

    /// Records that a server had no room for a request, which would have been late there. Without an objective (zero) no request is late.
    void recordFull(const listed_server& server, duration objective)
    {
        const std::lock_guard lock { m_mutex };
        if (objective > duration::zero() && usesDelays(server.service))
            m_records[server.id].delay.recordOwn(objective, m_clock.now());
    }

    /// Returns the response times of the servers that do not report their load, measured since the last call, for publication to other daemons.
    std::vector<shared_delay> takeDelayUpdates();

    /// Returns the number of servers that report no load and whose response times were measured a moment ago.
    std::size_t timedServers() const
    {
        const std::lock_guard lock { m_mutex };
        const time_point now = m_clock.now();
        return static_cast<std::size_t>(std::count_if(m_records.begin(), m_records.end(), [&](const auto& entry) { return entry.second.delay.isRecent(now); }));
    }

    /// Records response times that another daemon measured.
    void recordPeerDelays(const std::vector<shared_delay>& delays);

    /// Returns the loads reported since the last call, the newest ones first, for publication to other daemons.
    std::vector<shared_load> takeLoadUpdates();

    /// Records loads that another daemon published, except those that are older than the known ones. With
    /// `forwardsLoads`, the recorded ones are published again once: in a fleet that is larger than the number of daemons
    /// that receive a daemon's hints, a report spreads to all daemons only if they forward it.
    void recordPeerLoads(const std::vector<shared_load>& loads, bool forwardsLoads);

    /// Balances for a deployment whose callers compete for room, or whose servers share their hosts with others: prompts are looked up in
    /// the directory that the fleet shares. Also called when a server reports the speed of its host.
    void setContended() { m_isContended = true; }
    bool isContended() const { return m_isContended; }

    /// Returns whether servers of the service have reported their load to this daemon.
    bool reportsLoad(const service_id& service) const
    {
        const std::lock_guard lock { m_mutex };
        return m_reportingServices.contains(service);
    }

    /// Records that a server has sent the first part of its response to a request with a prompt affinity.
    void recordPromptRead(const server_id& server, std::uint64_t affinity)
    {
        if (!m_isContended || affinity == 0)
            return;
        const std::lock_guard lock { m_mutex };
        m_promptDirectory.record(promptHashOf(affinity), serverHashOf(server), m_clock.now());
    }

    /// Records that a request with a prompt affinity has ended; the server does not hold the prompt unless it has responded.
    void recordPromptRequestEnded(const server_id& server, std::uint64_t affinity)
    {
        if (!m_isContended || affinity == 0)
            return;
        const std::lock_guard lock { m_mutex };
        m_promptDirectory.withdraw(promptHashOf(affinity), serverHashOf(server));
    }

    /// Returns reports of prompts to publish to other daemons, at most a number.
    std::vector<prompt_report> takePromptReports(std::size_t maxCount)
    {
        const std::lock_guard lock { m_mutex };
        return m_promptDirectory.takeReports(m_clock.now(), maxCount);
    }

    /// Records reports of prompts that another daemon published. A process of a server holds nothing that was used before it was listed.
    void mergePromptReports(const server_list& list, const std::vector<prompt_report>& reports);

    /// Returns the updates of prompt holders since the last call, for publication to other daemons.
    std::vector<prompt_holder> takePromptUpdates()
    {
        const std::lock_guard lock { m_mutex };
        return m_promptHolders.takeUpdates();
    }

    /// Merges prompt holders that another daemon published. If two daemons have different primary holders for a prompt, all
    /// daemons select the server whose process started first.
    void mergePromptUpdates(const std::vector<prompt_holder>& updates);

    /// Discards the records of servers that are no longer listed and have no requests of this daemon in flight, and resets
    /// the records of servers whose process has restarted, except for the number of requests in flight. From then on
    /// startRequest() avoids such servers in earlier lists, which describe the former process.
    void retain(const server_list& list);

    /// Returns a copy of the records of all servers, for dumps and metrics.
    std::unordered_map<server_id, server_record> records() const
    {
        const std::lock_guard lock { m_mutex };
        return m_records;
    }

private:
    static double coldRate(const server_query& query) { return query.coldRequestsPerSecond / static_cast<double>(coldSenderCount(*query.fleet)); }

    static bool isCold(const listed_server& server, const server_query& query, time_point now) { return query.coldRequestsPerSecond > 0 && server.coldUntil > now; }

    /// Returns whether retain() has received another process of the server than the one that the given list names.
    static bool isFormerProcess(const listed_server& server, const server_record& record)
    {
        return record.processStartMs != 0 && server.processStartMs != record.processStartMs;
    }

    struct service_health {
        decaying_count served;
        decaying_count failed;
    };

    static void recordForForecast(server_record& record)
    {
        record.forecast.record(std::max(record.report->running + record.report->waiting - record.inFlightAtReport, 0), record.reportedAt);
    }

    void recordRequestTime(const service_id& service, duration held)
    {
        const auto [time, isFirst] = m_requestTimes.try_emplace(service, held);
        if (!isFirst)
            time->second += std::chrono::duration_cast<duration>((held - time->second) * m_options.requestTimeWeight);
    }

    /// Returns whether servers of the service are chosen by their response times, as they do not report their load.
    bool usesDelays(const service_id& service) const { return m_isContended && !m_reportingServices.contains(service); }

    /// Draws a server by the response times.
    std::size_t drawCandidate(const std::vector<server_candidate>& candidates, const server_query& query, time_point now) const;

    bool isColdLimited(const listed_server& server, const server_record& record, const server_query& query, time_point now) const
    {
        return isCold(server, query, now) && (!isColdSender(*query.fleet, server.id) || !record.coldShare.hasToken(now, coldRate(query)));
    }

    std::vector<server_candidate> candidatesFor(const server_list& list, std::vector<const listed_server*> eligible, const server_query& query, time_point now);

    /// Returns this daemon's share of the request rate of the service's servers; nothing if some of them have no limit.
    std::optional<double> limitedRateOf(const server_list& list, const server_query& query, time_point now);

    bool isOlder(std::uint32_t left, std::uint32_t right) const;

    /// Listed servers that hold a prompt, including those that accept no new requests: prompts can still be copied from
    /// their caches.
    struct listed_holders {
        struct holder {
            const listed_server* server = nullptr;
            bool hasRead = true; ///< Otherwise it still reads the prompt.
        };
        const listed_server* primary = nullptr; ///< Keeps the prompt while it accepts requests; null if the fleet shares its directory of prompts.
        boost::container::static_vector<holder, prompt_directory::maxHolders> all;

        bool hasPrompt(const listed_server& server) const
        {
            return std::any_of(all.begin(), all.end(), [&](const holder& known) { return known.server == &server && known.hasRead; });
        }
    };

    listed_holders holdersOf(const server_list& list, const server_query& query, time_point now) const;

    /// Returns the holders that may be chosen, in the order of preference for a request.
    std::vector<std::size_t> candidateIndicesOf(const std::vector<server_candidate>& candidates, const listed_holders& holders, std::uint64_t tieBreak) const;

    void recordHolders(const server_list& list, const server_query& query, const listed_server* primary, const listed_server& chosen, time_point now);

    std::optional<std::size_t> indexToProbe(const std::vector<server_candidate>& candidates, time_point now) const;

    static load_basis basisOf(const std::vector<server_candidate>& candidates, std::size_t chosen, std::size_t serversOfService);

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

    std::string cacheSourceAddress(std::vector<const listed_server*> servers, const server_query& query, const listed_holders& holders, const listed_server& chosen, time_point now) const;

    /// Returns the holder from which to copy the prompt; null if none can be reached.
    const listed_server* holderToCopyFrom(const listed_holders& holders, const listed_server& chosen, time_point now) const;

    // Estimates the mean load of the servers from this daemon's own requests and the size of the fleet.
    double meanLoad(const std::vector<const listed_server*>& servers, std::size_t fleetSize)
    {
        double own = 0;
        for (const listed_server* server : servers)
            own += m_records[server->id].inFlight.current();
        return servers.empty() ? 0 : own * static_cast<double>(fleetSize) / static_cast<double>(servers.size());
    }

    std::optional<duration> reportAge(const server_record& record, time_point now) const
    {
        const duration age = now - record.reportedAt;
        return record.report && age < m_options.reportLifetime ? std::optional { age } : std::nullopt;
    }

    /// Returns the mean of the recent load reports of the servers, without the requests that brought them; 0 if there are none.
    double meanReport(const std::vector<const listed_server*>& servers, time_point now) const;

    double estimatedLoad(const server_record& record, std::size_t fleetSize, double mean, double reported, time_point now) const;

    void ejectIfFailing(server_record& record, const service_health& health, time_point now) const;

    const Clock& m_clock;
    load_balancer_options m_options;
    mutable ranked_mutex m_mutex { lock_rank::Servers };
    std::unordered_map<server_id, server_record> m_records;
    std::unordered_map<service_id, service_health> m_health;
    std::unordered_map<std::uint32_t, server_id> m_idsByHash;
    prompt_holder_table m_promptHolders;
    prompt_directory m_promptDirectory; ///< Used instead of the table while m_isContended.
    std::atomic<bool> m_isContended = false;
    process_identities m_identities;
    server_restrictions m_restrictions;
    server_limit_table m_limits;
    std::unordered_map<service_id, priority_gate> m_gates; ///< By service.
    std::unordered_map<service_id, duration> m_requestTimes; ///< Mean time for which a server has a request.
    std::unordered_set<service_id> m_reportingServices;
    std::unordered_set<server_id> m_unpublished; ///< Servers whose last report has not been published to other daemons.
};

} // namespace radishflow

#include "radishflow/Routing/load_balancer_choice.h"
#include "radishflow/Routing/load_balancer_updates.h"
