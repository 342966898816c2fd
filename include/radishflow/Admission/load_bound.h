// Declares load_bound, which refuses work that would put a server above a multiple of the mean load.
#pragma once

#include "radishflow/Admission/load_aggregate.h"
#include "radishflow/Support/monotonic_clock.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <unordered_map>

namespace radishflow {

struct load_bound_options {
    double multiple = 1.5; ///< No server runs more than this times the mean.
    duration maxAggregateAge = std::chrono::seconds { 10 }; ///< An aggregate counts for less with age and then for nothing.
    int floor = 1; ///< A server may always run this many, so that an idle fleet works.
};

/// The bound of one service at one owner. Not thread-safe.
///
/// A server may run the multiple of the mean, rounded up and with the new request counted in: with less, servers
/// that all run the same could never take one more. The mean errs low: an aggregate of age a counts for 1 - a / maxAggregateAge of its running work. It is at most the
/// true mean as long as no owner's work falls faster than that, and below it by at most that part and by what
/// has been added since.
template <monotonic_clock Clock>
class load_bound {
public:
    load_bound(const Clock& clock, daemon_id self, const load_bound_options& options)
        : m_clock(clock)
        , m_self(std::move(self))
        , m_options(options)
    {
        assert(options.multiple >= 1 && "a multiple below one could refuse all work");
    }

    /// Sets this owner's own load, which is exact.
    void setOwnLoad(int running, int servers)
    {
        m_ownRunning = running;
        m_ownServers = servers;
    }

    /// Sets how many servers of the service the host list shows; the mean is over the larger count.
    void setListedServers(int servers) { m_listedServers = servers; }

    /// Takes in another owner's aggregate; older ones than the one known are ignored.
    void merge(const load_aggregate& aggregate, duration ageOnArrival = duration::zero())
    {
        if (aggregate.owner == m_self)
            return;
        other_owner& known = m_others[aggregate.owner];
        const std::pair newer { aggregate.incarnation, aggregate.sequence };
        if (newer <= std::pair { known.aggregate.incarnation, known.aggregate.sequence })
            return;
        known = { .aggregate = aggregate, .countedAt = m_clock.now() - ageOnArrival };
    }

    void forget(const daemon_id& owner) { m_others.erase(owner); }

    /// Returns the estimate of running requests a server, which errs low.
    double meanLoad() const { return meanWith(0); }

    /// Returns how many requests a server may run.
    int allowed() const
    {
        constexpr int newRequest = 1;
        return std::max(static_cast<int>(std::ceil(m_options.multiple * meanWith(newRequest))), m_options.floor);
    }

    bool admits(int runningAtServer) const { return runningAtServer < allowed(); }

private:
    struct other_owner {
        load_aggregate aggregate;
        time_point countedAt;
    };

    double meanWith(int further) const
    {
        double running = m_ownRunning + further;
        int servers = m_ownServers;
        for (const auto& [owner, other] : m_others) {
            running += other.aggregate.running * weightOf(other.countedAt);
            servers += other.aggregate.servers;
        }
        servers = std::max({ servers, m_listedServers, 1 });
        return running / servers;
    }

    double weightOf(time_point countedAt) const
    {
        const duration age = std::max(m_clock.now() - countedAt, duration::zero());
        const double part = std::chrono::duration<double>(age) / std::chrono::duration<double>(m_options.maxAggregateAge);
        return std::max(1 - part, 0.0);
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
