// Declares rollout_manager, which executes the operator's orders to move services to another version of their software.
#pragma once

#include "radishflow/Routing/compare_versions.h"
#include "radishflow/Routing/fleet_view.h"
#include "radishflow/Routing/rollout_coordinators.h"
#include "radishflow/Routing/rollout_evidence.h"
#include "radishflow/Routing/rollout_order.h"
#include "radishflow/Routing/rollout_schedule.h"
#include "radishflow/Routing/server_list.h"
#include "radishflow/Routing/service_contact.h"
#include "radishflow/Routing/shared_load.h"
#include "radishflow/Routing/version_restriction.h"
#include "radishflow/Support/ranked_mutex.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace radishflow {

struct rollout_options {
    bool isEnabled = false; ///< Whether the platform's operator orders roll-outs.
    double maxExposure = 0.1; ///< Share of a service's requests that a faulty version may get; the platform's bound.
    double trialExposure = 0.6; ///< Fraction of that share which the trial uses.
    duration noticeLifetime = std::chrono::seconds { 3 }; ///< Without a newer notice, the target gets no new requests after this time.
    duration takeoverDelay = std::chrono::seconds { 1 }; ///< Age of the newest notice at which the second coordinator decides; twice as much for the third.
    duration cutOffReadInterval = std::chrono::seconds { 1 }; ///< A coordinator that knows less than half of the daemons reads the status as often.
    duration evidenceMemory = std::chrono::seconds { 30 }; ///< How long the evidence of a daemon that sends no more of it counts.
    duration settlingTime = std::chrono::seconds { 3 }; ///< Time after a server was listed, or has ceased to be cold, in which its pace is not compared.
    duration doneTime = std::chrono::seconds { 5 }; ///< Time for which servers of other versions are avoided after the order is done, as their ends may not be listed yet.
    duration endNoticeTime = std::chrono::seconds { 30 }; ///< Time for which the end of an order is published. Servers of the target that are listed later belong to no order.
    duration minFullTime = std::chrono::seconds { 1 }; ///< Time for which the target gets all requests before the order is done.
    duration urgentTime = std::chrono::seconds { 1 }; ///< Time for which a daemon that has found a fault sends the suspension to all.
    std::size_t maxSamples = 60; ///< Responses of the target that a daemon keeps; as many as a datagram holds.
    std::size_t maxRoutes = 24; ///< Of the tallies in a datagram.
    std::size_t minTrialSamples = 20; ///< Responses by which the trial may end early.
    rollout_schedule schedule;
    version_comparison_options comparison;
};

/// What a coordinator needs the store for.
struct rollout_action {
    service_id service;
    std::optional<rollout_status> status; ///< To record, in place of the row of its revision; without one, the row is to be read.
    std::string reason;
};

/// A change of the execution of an order, for the log.
struct rollout_event {
    service_id service;
    software_version target;
    std::uint64_t order = 0;
    std::string what;
    std::string detail;
};

/// What to log and to show as metrics of one order.
struct rollout_summary {
    service_id service;
    software_version target;
    std::string state;
    double share = 0;
    std::uint64_t requests = 0; ///< Of this daemon and, at a coordinator, of those that sent evidence.
    std::uint64_t targetRequests = 0;
    std::size_t samples = 0; ///< Responses of the target.
    std::size_t badSamples = 0; ///< Errors among them.
};

/// Executes orders; docs/design/rollouts.md explains the protocol. A daemon sends requests to the target of an order only while it
/// holds a recent notice of a coordinator, so that daemons which were paused or cut off send it none. Thread-safe under one lock of rank
/// Rollouts.
template <monotonic_clock Clock>
class rollout_manager {
public:
    explicit rollout_manager(const Clock& clock, const rollout_options& options = {})
        : m_clock(clock)
        , m_options(options)
    {
        m_options.schedule.trialShare = options.maxExposure * options.trialExposure;
    }

    bool isEnabled() const { return m_options.isEnabled; }

    /// Records an order. One with a later revision replaces the service's earlier one; an order of another era of the store with the
    /// same contents is the same one.
    void recordOrder(const rollout_order&);
    /// Ends the execution of a service's order, which the operator has withdrawn.
    void withdrawOrder(const service_id&);
    /// Returns the services that have an order.
    std::vector<service_id> orderedServices() const;
    /// Records the row that the store holds for a service; nothing if it has none.
    void recordStatus(const service_id&, const std::optional<rollout_status>&);

    /// Returns to which servers a request may be sent. `draw` is a number that differs between requests. `pinned` is the version at which
    /// the stream that the request resumes began. `confirmedAt` is when this daemon last knew all orders.
    version_restriction restrictionFor(const server_list&, const service_id&, std::uint64_t draw, const std::optional<version_key>& pinned, time_point confirmedAt);

    /// Records that a request was sent to a server.
    void recordSend(const listed_server&);
    /// Records a complete response of a server.
    void recordResponse(const listed_server&, const std::string& route, bool isFailure, std::optional<duration> pace);

    /// Returns what this daemon has seen of the orders that are executed. `baseInFlight(service, target)` returns the number of its
    /// requests at other versions; it is called under the lock.
    template <typename InFlight>
    std::vector<std::pair<service_id, rollout_evidence>> takeEvidence(const InFlight& baseInFlight);
    /// Records the evidence of another daemon, on a host, which replaces its earlier evidence.
    void mergeEvidence(const std::string& host, const rollout_evidence&);
    /// Returns the newest notices to send to other daemons.
    std::vector<rollout_notice> notices() const;
    void mergeNotice(const rollout_notice&);

    /// Decides how to go on, if this daemon coordinates. Returns what to read from the store or to record there; the caller passes
    /// the rows to recordStatus(). Call it every few hundred milliseconds.
    std::vector<rollout_action> coordinate(const server_list&, const fleet_view&);

    std::vector<rollout_event> takeEvents()
    {
        const std::lock_guard lock { m_mutex };
        return std::exchange(m_events, {});
    }
    std::vector<rollout_summary> summaries() const;

private:
    struct peer_evidence {
        rollout_evidence evidence;
        time_point receivedAt {};
    };

    struct execution {
        rollout_order order;
        time_point seenAt {};
        std::set<version_key> formerTargets; ///< Of orders that this one has replaced before they were done.
        bool isStatusKnown = false; ///< The store's row has been read since the order or the era of the store changed.
        time_point statusReadAt {};
        std::uint64_t statusRevision = 0; ///< Of the store's row, whichever order it names.
        std::optional<rollout_state> storedState; ///< Of this order in the store's row.
        std::optional<rollout_state> state; ///< As far as this daemon knows; an end is final.
        time_point endedAt {};
        time_point startedAt {};
        bool isSuspended = false; ///< Holds until the order is done or replaced.
        std::string suspensionReason;
        std::optional<time_point> faultFoundAt; ///< By this daemon itself.
        std::optional<rollout_notice> notice;
        time_point noticeAt {}; ///< When the notice was decided, by this daemon's clock.
        duration trialEndedAfter {}; ///< Since startedAt; zero during the trial. Only used by the coordinator.
        std::optional<time_point> fullSince;
        std::uint64_t requests = 0;
        std::uint64_t targetRequests = 0;
        std::uint32_t baseInFlight = 0; ///< As last taken.
        std::size_t targetServers = 0; ///< Listed ones, as of the last coordinate().
        std::map<std::uint32_t, route_tally> base; ///< By route.
        std::deque<version_sample> target;
        std::map<std::string, peer_evidence> peers; ///< By host.
        std::shared_ptr<const std::set<server_id>> trialServers;
        std::size_t trialCandidates = 0; ///< Servers of the target when trialServers was selected.
    };

    static version_key targetOf(const rollout_order& order) { return versionKeyOf(order.service, order.target); }
    static bool isSameOrder(const rollout_order& left, const rollout_order& right)
    {
        return left.target == right.target && (left.era == right.era ? left.revision == right.revision : left.ramp == right.ramp);
    }
    static bool belongsTo(const rollout_status& status, const rollout_order& order)
    {
        return status.target == order.target && (status.era != order.era || status.order == order.revision);
    }
    void addEvent(const execution& rollout, const std::string& what, const std::string& detail = {})
    {
        m_events.push_back({ .service = rollout.order.service, .target = rollout.order.target, .order = rollout.order.revision, .what = what, .detail = detail });
    }
    execution* find(std::uint32_t service, std::uint64_t order);
    bool isNoticeFresh(const execution& rollout, time_point now) const { return rollout.notice && now - rollout.noticeAt < m_options.noticeLifetime; }
    void selectTrialServers(execution&, const std::vector<const listed_server*>& targetServers) const;
    void suspend(execution&, const std::string& reason);
    bool isCoordinating(const execution&, const fleet_view&, time_point now) const;
    std::optional<rollout_action> decide(execution&, std::size_t baseServers, time_point now);
    /// Publishes the end of an order, and records it again if the store has lost it.
    std::optional<rollout_action> confirmEnd(execution&, time_point now);
    void setState(execution&, rollout_state);
    static std::string stateNameOf(const execution& rollout)
    {
        if (rollout.state && hasEnded(*rollout.state))
            return nameOf(*rollout.state);
        if (rollout.isSuspended)
            return "suspended";
        return rollout.notice ? "running" : "ordered";
    }
    std::vector<version_sample> samplesOf(const execution&) const;
    std::optional<version_fault> findFault(const execution&) const;
    bool isBaseIdle(const execution&, time_point now) const;
    void publish(execution& rollout, const rollout_notice& notice, time_point now)
    {
        rollout.notice = notice;
        rollout.notice->service = serviceHashOf(rollout.order.service);
        rollout.notice->order = rollout.order.revision;
        rollout.noticeAt = now;
    }
    std::set<version_key> withheldVersions(const std::vector<const listed_server*>&, time_point confirmedAt) const;
    rollout_action recordAction(const execution& rollout, rollout_state state, const std::string& reason) const
    {
        return { .service = rollout.order.service, .status = statusOf(rollout, state), .reason = reason };
    }
    rollout_status statusOf(const execution& rollout, rollout_state state) const
    {
        return { .service = rollout.order.service, .target = rollout.order.target, .state = state, .order = rollout.order.revision, .era = rollout.order.era, .startedAt = rollout.startedAt, .revision = rollout.statusRevision };
    }

    const Clock& m_clock;
    rollout_options m_options;
    mutable ranked_mutex m_mutex { lock_rank::Rollouts };
    std::map<service_id, execution> m_rollouts;
    std::vector<rollout_event> m_events;
};

} // namespace radishflow

#include "radishflow/Routing/rollout_manager_coordination.h"
#include "radishflow/Routing/rollout_manager_requests.h"
