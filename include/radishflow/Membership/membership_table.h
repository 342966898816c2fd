// Declares membership_table, one daemon's part in the fleet's membership: whom it probes, whom it believes, what it passes on.
#pragma once

#include "radishflow/Membership/byte_budget.h"
#include "radishflow/Membership/load_aggregator.h"
#include "radishflow/Membership/member.h"
#include "radishflow/Membership/member_list.h"
#include "radishflow/Membership/membership_counters.h"
#include "radishflow/Membership/membership_options.h"
#include "radishflow/Membership/news_queue.h"
#include "radishflow/Membership/outgoing_message.h"
#include "radishflow/Membership/probe_schedule.h"
#include "radishflow/Membership/probe_table.h"
#include "radishflow/Membership/region_watch.h"
#include "radishflow/Membership/seed_peer.h"

#include <optional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace radishflow {

/// Call tick() at least every 100 ms. Clock and random source outlive the table. Not thread-safe.
template <monotonic_clock Clock, std::uniform_random_bit_generator Random>
class membership_table {
public:
    membership_table(membership_options, const Clock&, Random&);
    membership_table(const membership_table&) = delete;
    membership_table& operator=(const membership_table&) = delete;

    /// Replaces the addresses to look for peers at, which the platform's lagging list names.
    void seed(std::vector<seed_peer> seeds);

    /// Does what is due and returns the datagrams to send.
    std::vector<outgoing_message> tick();
    /// Takes a datagram and returns the answers to send.
    std::vector<outgoing_message> receive(const peer_address& from, const gossip_message&);
    /// Ends this incarnation and returns the goodbyes; keep ticking for a second to spread the news.
    std::vector<outgoing_message> leave();

    /// Publishes a value under this daemon's name; false when it breaks the limits of member_record. The value
    /// spreads no more often than recordIntervalPerMember allows, the last one wins.
    bool publish(const std::string& key, const std::string& bytes);
    /// Sets a register if the value is greater than the known one; false when it is not or breaks the limits.
    bool setRegister(const std::string& key, fleet_register value);
    /// Sets this daemon's share in the loads of services.
    void setLoads(const std::vector<service_load>& loads) { m_loads.setOwn(loads, m_clock.now()); }

    const register_map& registers() const { return m_list.registers(); }
    /// Returns the value of a register; version 0 when it was never set.
    fleet_register registerOf(const std::string& key) const;
    std::optional<load_sums> fleetLoads() const { return m_loads.fleetSums(m_clock.now()); }
    /// Returns all members with this daemon, also those that died or left within deadRetention.
    std::vector<member> members() const;
    /// Returns one of them.
    std::optional<member> memberOf(const daemon_id&) const;
    /// Counts the members that are neither dead nor left, this daemon included.
    std::size_t liveCount() const { return m_list.liveCount(); }
    /// Returns this daemon's incarnation, which grows when it was taken for dead.
    incarnation_number incarnation() const { return self().update.status.incarnation; }
    /// Returns whether this daemon hears nobody though it knows others, so that its view is stale.
    bool isIsolated() const;
    const membership_counters& counters() const { return m_counters; }
    const membership_options& options() const { return m_options; }

private:
    using out_list = std::vector<outgoing_message>;

    const member_entry& self() const { return *m_list.find(m_options.id); }
    bool hasLeft() const { return self().update.status.isTerminal(); }
    member viewOf(const member_entry&, time_point now) const;
    std::size_t retransmitLimit() const;
    bool isOwnRegion(const member_entry&) const;
    static bool isDue(time_point& next, time_point now, duration interval);

    void send(out_list&, const peer_address& to, gossip_message, bool withNews);
    void sendPing(out_list&, const probe&);
    void startProbe(out_list&, const member_entry&, probe::purpose, time_point now);
    void askOthers(out_list&, const probe&, std::size_t count);
    void reprobe(out_list&, const member_entry&, time_point now);
    void takeStep(out_list&, const probe_step&, time_point now);

    void noticePause(time_point now);
    void probeOthers(out_list&, time_point now);
    void probeLost(out_list&, time_point now);
    void gossip(out_list&, time_point now);
    void spreadRecords(time_point now);
    void releaseHeldNews(time_point now);

    void judge(const probe&, time_point now);
    void checkSuspicions(out_list&, time_point now);
    duration suspicionTimeout(const member_entry&) const;
    void declareDead(const daemon_id&, time_point now);
    void applyMember(const member_update&, time_point now);
    void announce(const daemon_id&, time_point now);
    void answerOwnNews(const member_status&, time_point now);
    void takeIncarnation(incarnation_number, time_point now);

    void noteSender(out_list&, const peer_address& from, const gossip_message&, time_point now);
    void mergeNews(const gossip_message&, time_point now, std::vector<std::uint32_t>& staleKeys);
    void dispatch(out_list&, const peer_address& from, const gossip_message&, std::vector<std::uint32_t> staleKeys, time_point now);
    void acceptAck(out_list&, const gossip_message&, time_point now);
    void relayPing(out_list&, const peer_address& from, const gossip_message&, time_point now);
    void synchronise(out_list&, const peer_address& from, const gossip_message&, time_point now);
    void sendBounded(out_list&, const peer_address& to, std::vector<gossip_message>);

    struct own_record {
        member_record wanted;
        time_point spreadAt {};
        bool isPending = false;
    };

    membership_options m_options;
    const Clock& m_clock;
    member_list m_list;
    news_queue m_news;
    probe_table m_probes;
    probe_schedule<Random> m_schedule;
    region_watch m_regions;
    load_aggregator m_loads;
    byte_budget m_budget;
    membership_counters m_counters;
    std::vector<seed_peer> m_seeds;
    std::set<peer_address> m_leaving; ///< Those seeds that are leaving.
    std::map<std::string, own_record> m_ownRecords;
    std::set<daemon_id> m_heldNews;
    std::size_t m_crossTurn = 0;
    time_point m_tickedAt {};
    time_point m_heardAt {};
    time_point m_newsAt {};
    time_point m_syncedAt {};
    time_point m_nextProbe {};
    time_point m_nextCross {};
    time_point m_nextRejoin {};
    time_point m_nextGossip {};
    time_point m_nextLoad {};
    time_point m_nextForget {};
};

} // namespace radishflow

#include "radishflow/Membership/membership_table_probes.h"
#include "radishflow/Membership/membership_table_receive.h"
#include "radishflow/Membership/membership_table_ticks.h"
