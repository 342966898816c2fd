// Declares load_bound, which refuses requests that would raise a server's load above a multiple of the mean load.
#pragma once

#include "radishflow/Admission/load_aggregate.h"
#include "radishflow/Support/monotonic_clock.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <unordered_map>

namespace radishflow {

struct load_bound_options {
    double multiple = 1.5; ///< Bound of a server's load, as a multiple of the mean load.
    duration maxAggregateAge = std::chrono::seconds { 10 }; ///< An aggregate's weight decreases linearly with its age and reaches zero at this age.
    int floor = 1; ///< Requests that a server may always run, so that an idle fleet accepts work.
};

/// The load bound of one service at one owner. Not thread-safe.
///
/// A server may run the multiple of the mean, rounded up. The mean includes the new request: otherwise servers that all
/// have the same load could never accept another request.
///
/// The mean is a low estimate, since the running requests of an aggregate of age a are weighted by 1 - a / maxAggregateAge.
/// It does not exceed the true mean as long as no owner's load decreases faster than that weight. It is below the true
/// mean by at most the discounted part and the requests added since the aggregate was published.
template <monotonic_clock Clock>
class load_bound {
public:
    load_bound(const Clock& clock, daemon_id self, const load_bound_options& options)
        : m_clock(clock)
        , m_self(std::move(self))
        , m_options(options)
    {
        assert(options.multiple >= 1 && "a multiple below one could refuse all requests");
    }

    /// Sets this owner's own load, which is exact, unlike the aggregates of others.
    void setOwnLoad(int running, int servers)
    {
        m_ownRunning = running;
        m_ownServers = servers;
    }

    /// Sets how many servers of the service the host list contains. The mean is taken over the larger of this count and the
    /// owners' total.
    void setListedServers(int servers) { m_listedServers = servers; }

    /// Records another owner's aggregate; ignores it unless it is newer than the recorded one.
    void merge(const load_aggregate& aggregate, duration ageOnArrival = duration::zero())
    {
        if (aggregate.owner == m_self)
            return;
        other_owner& recorded = m_others[aggregate.owner];
        const std::pair version { aggregate.incarnation, aggregate.sequence };
        if (version <= std::pair { recorded.aggregate.incarnation, recorded.aggregate.sequence })
            return;
        recorded = { .aggregate = aggregate, .measuredAt = m_clock.now() - ageOnArrival };
    }

    /// Discards the aggregate of an owner.
    void remove(const daemon_id& owner) { m_others.erase(owner); }

    /// Returns a low estimate of the running requests per server.
    double meanLoad() const { return meanLoadWith(0); }

    /// Returns the maximum number of requests that a server may run.
    int allowed() const
    {
        constexpr int newRequest = 1;
        return std::max(static_cast<int>(std::ceil(m_options.multiple * meanLoadWith(newRequest))), m_options.floor);
    }

    /// Returns whether a server with this many running requests may run another.
    bool admits(int runningAtServer) const { return runningAtServer < allowed(); }

private:
    struct other_owner {
        load_aggregate aggregate;
        time_point measuredAt;
    };

    double meanLoadWith(int additionalRequests) const
    {
        double running = m_ownRunning + additionalRequests;
        int servers = m_ownServers;
        for (const auto& [owner, other] : m_others) {
            running += other.aggregate.running * weightOf(other.measuredAt);
            servers += other.aggregate.servers;
        }
        servers = std::max({ servers, m_listedServers, 1 });
        return running / servers;
    }

    double weightOf(time_point measuredAt) const
    {
        const duration age = std::max(m_clock.now() - measuredAt, duration::zero());
        const double agedPart = std::chrono::duration<double>(age) / std::chrono::duration<double>(m_options.maxAggregateAge);
        return std::max(1 - agedPart, 0.0);
    }

    const Clock& m_clock;
    daemon_id m_self;
    load_bound_options m_options;
    int m_ownRunning = 0;
    int m_ownServers = 0;
    int m_listedServers = 0;
    std::unordered_map<daemon_id, other_owner> m_others;
};

} // namespace radishflow
