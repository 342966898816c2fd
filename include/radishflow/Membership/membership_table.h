// Declares membership_table, one daemon's side of the gossip membership protocol: failure detection by probes,
// dissemination of updates, and anti-entropy.
#pragma once

#include "radishflow/Membership/load_aggregator.h"
#include "radishflow/Membership/member.h"
#include "radishflow/Membership/member_list.h"
#include "radishflow/Membership/membership_counters.h"
#include "radishflow/Membership/membership_options.h"
#include "radishflow/Membership/outgoing_message.h"
#include "radishflow/Membership/probe_schedule.h"
#include "radishflow/Membership/probe_table.h"
#include "radishflow/Membership/region_reachability.h"
#include "radishflow/Membership/seed_peer.h"
#include "radishflow/Membership/token_bucket.h"
#include "radishflow/Membership/update_queue.h"

#include <optional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace radishflow {

/// Performs no I/O: tick() and receive() return the datagrams to send. tick() must be called at least every
/// 100 ms. The clock and the random source must outlive the table. Not thread-safe.
template <monotonic_clock Clock, std::uniform_random_bit_generator Random>
class membership_table {
public:
    membership_table(membership_options, const Clock&, Random&);
    membership_table(const membership_table&) = delete;
    membership_table& operator=(const membership_table&) = delete;

    /// Replaces the seed addresses, at which unknown peers are probed. They come from the platform's host list,
    /// which lags behind the fleet.
    void seed(std::vector<seed_peer> seeds);

    /// Performs the periodic work that is due and returns the datagrams to send.
    std::vector<outgoing_message> tick();
    /// Processes a received datagram and returns the datagrams to send in response.
    std::vector<outgoing_message> receive(const peer_address& from, const gossip_message&);
    /// Sets this daemon's state to Left and returns the datagrams that announce it. Keep calling tick() for a
    /// second so that the update propagates.
    std::vector<outgoing_message> leave();

    /// Publishes a record of this daemon; returns false if it exceeds the limits of member_record. Versions are
    /// sent at the interval set by recordIntervalPerMember; of the values set in between, only the last is sent.
    bool publish(const std::string& key, const std::string& bytes);
    /// Sets a register if `value` is greater than the known value; returns false if it isn't or exceeds the limits
    /// of fleet_register.
    bool setRegister(const std::string& key, fleet_register value);
    /// Sets this daemon's contribution to the loads of services.
    void setLoads(const std::vector<service_load>& loads) { m_loads.setOwn(loads, m_clock.now()); }

    const register_map& registers() const { return m_list.registers(); }
    /// Returns the value of a register, with version 0 if it was never set.
    fleet_register registerOf(const std::string& key) const;
    std::optional<load_sums> fleetLoads() const { return m_loads.fleetSums(m_clock.now()); }
    /// Returns all members, including this daemon and those that died or left within deadRetention.
    std::vector<member> members() const;
    /// Returns one of the members(), or nothing if the id is unknown.
    std::optional<member> memberOf(const daemon_id&) const;
    /// Returns the number of members that are neither dead nor left, including this daemon.
    std::size_t liveCount() const { return m_list.liveCount(); }
    /// Returns this daemon's incarnation, which is raised after other daemons declared it dead.
    incarnation_number incarnation() const { return self().update.status.incarnation; }
    /// Returns whether no datagram arrived for two probe timeouts although other members are live; the view is
    /// then stale.
    bool isIsolated() const;
    const membership_counters& counters() const { return m_counters; }
    const membership_options& options() const { return m_options; }

private:
    using message_list = std::vector<outgoing_message>;

    const member_entry& self() const { return *m_list.find(m_options.id); }
    bool isStarting(time_point now) const { return now - m_startedAt < m_options.startSyncTime; }
    bool hasLeft() const { return self().update.status.isTerminal(); }
    member viewOf(const member_entry&, time_point now) const;
    std::size_t retransmitLimit() const;
    bool isOwnRegion(const member_entry&) const;
    /// Returns whether a member takes messages, as far as this daemon knows.
    static bool isReachable(const member_entry& entry) { return entry.update.status.state() == member_state::Alive && !entry.unansweredSince; }
    bool isResponsive(const member_entry&, time_point now) const;
    static bool isDue(time_point& next, time_point now, duration interval);

    void send(message_list&, const peer_address& to, gossip_message, bool includesUpdates);
    void sendPing(message_list&, const probe&);
    void startProbe(message_list&, const member_entry&, probe::purpose, time_point now);
    void sendPingRequests(message_list&, const probe&, std::size_t count);
    void reprobe(message_list&, const member_entry&, time_point now);
    void executeStep(message_list&, const probe_step&, time_point now);

    void detectPause(time_point now);
    void probeLiveMembers(message_list&, time_point now);
    void probeFurtherMembers(message_list&, time_point now);
    void probeDeadMembersAndSeeds(message_list&, time_point now);
    void gossip(message_list&, time_point now);
    void publishPendingRecords(time_point now);
    void enqueueDeferredUpdates(time_point now);

    void recordFailure(const probe&);
    void suspectUnlessAnswered(const probe&, time_point now);
    void checkSuspicions(time_point now);
    void reprobeUnresponsiveMembers(message_list&, time_point now);
    duration suspicionTimeout(const member_entry&) const;
    void declareDead(const daemon_id&, time_point now);
    void applyMember(const member_update&, time_point now);
    void enqueueUpdate(const daemon_id&, time_point now);
    void refuteOwnStatus(const member_status&, time_point now);
    void adoptIncarnation(incarnation_number, time_point now);

    void updateSender(message_list&, const peer_address& from, const gossip_message&, time_point now);
    void mergeUpdates(const gossip_message&, time_point now, std::vector<std::uint32_t>& staleKeys);
    void dispatch(message_list&, const peer_address& from, const gossip_message&, std::vector<std::uint32_t> staleKeys, time_point now);
    static void recordAnswer(member_entry&, time_point now);
    void acceptAck(message_list&, const gossip_message&, time_point now);
    void relayPing(message_list&, const peer_address& from, const gossip_message&, time_point now);
    void synchronise(message_list&, const peer_address& from, const gossip_message&, time_point now);
    void sendBounded(message_list&, const peer_address& to, std::vector<gossip_message>);

    struct own_record {
        member_record record;
        time_point publishedAt {};
        bool isPending = false; ///< The value changed since it was last sent.
    };

    membership_options m_options;
    const Clock& m_clock;
    member_list m_list;
    update_queue m_updates;
    probe_table m_probes;
    probe_schedule<Random> m_schedule;
    region_reachability m_regions;
    load_aggregator m_loads;
    token_bucket m_budget; ///< Of bytes.
    token_bucket m_furtherProbes;
    std::size_t m_furtherProbesDue = 0;
    token_bucket m_pingRequests;
    membership_counters m_counters;
    std::vector<seed_peer> m_seeds;
    std::set<peer_address> m_leaving; ///< Addresses of the seeds that are leaving.
    std::map<std::string, own_record> m_ownRecords;
    std::set<daemon_id> m_deferredUpdates;
    std::size_t m_crossRegionTurn = 0;
    time_point m_startedAt {};
    time_point m_lastTickAt {};
    time_point m_lastReceivedAt {};
    time_point m_lastUpdateAt {};
    time_point m_lastSyncAt {};
    time_point m_nextProbe {};
    time_point m_nextCrossRegionProbe {};
    time_point m_nextRejoinProbe {};
    time_point m_nextGossip {};
    time_point m_nextLoad {};
    time_point m_nextExpiry {};
};

} // namespace radishflow

#include "radishflow/Membership/membership_table_probes.h"
#include "radishflow/Membership/membership_table_receive.h"
#include "radishflow/Membership/membership_table_ticks.h"
