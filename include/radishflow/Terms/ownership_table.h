// Declares ownership_table, with which a daemon claims, takes over, renews and releases backend servers.
#pragma once

#include "radishflow/Terms/fleet_view.h"
#include "radishflow/Terms/owner_placement.h"
#include "radishflow/Terms/replicated_rows.h"
#include "radishflow/Terms/takeover.h"
#include "radishflow/Terms/term_lease.h"

#include <string>
#include <vector>

namespace radishflow {

/// One daemon's view of the ownership of all servers, with the gates of those that it owns.
///
/// Not thread-safe. Its state is consistent during calls to the table, so a table may release the caller's lock while
/// it waits for the network; only one thread may call step().
template <monotonic_clock Clock>
class ownership_table {
public:
    ownership_table(const Clock& clock, daemon_id self, const term_options& options, std::uint64_t nonce)
        : m_clock(clock)
        , m_self(std::move(self))
        , m_options(options)
        , m_lease(clock, m_self, options, nonce)
    {
    }

    /// Renews the lease, polls the table, and commits at most maxCommitsPerStep changes of ownership. Call about twice
    /// per second.
    template <transactional_table Table>
    void step(Table& table, const fleet_view& fleet)
    {
        m_commitsLeft = m_options.maxCommitsPerStep;
        m_lease.step(table);
        reregisterIfDrained();
        poll(table);
        updateGates(fleet);
        if (!m_rows.hasPolled() || m_lease.phase() != term_phase::Running)
            return;
        placeOwners(fleet);
        for (const server_id& server : ownedServers())
            maintainOwnership(table, server);
        if (m_isStopping)
            return releaseTerm(table);
        for (const server_id& server : m_placement.serversPreferring(m_self))
            claimIfFree(table, server);
    }

    /// Starts a graceful stop: later steps release every server, then the lease.
    void beginStop() { m_isStopping = true; }
    bool isStopped() const { return m_isStopping && !m_lease.isHeld(); }

    /// Returns whether another process has registered under this daemon's name; this process then owns nothing and
    /// should exit.
    bool isSuperseded() const { return m_lease.isSuperseded(); }

    /// Returns the owner of a server according to the table, even if its term may have lapsed.
    std::optional<daemon_id> ownerOf(const server_id& server) const
    {
        const observed_ownership* known = m_rows.ownershipOf(server);
        return known && !known->row.isReleased ? std::optional { known->row.daemon } : std::nullopt;
    }

    std::vector<server_id> ownedServers() const
    {
        std::vector<server_id> owned;
        for (const auto& [server, gate] : m_gates) {
            if (gate.isOwned())
                owned.push_back(server);
        }
        return owned;
    }

    /// Decides whether a request may be written to a server, given the server's current limit.
    permit admit(const server_id& server, int limit)
    {
        const auto gate = m_gates.find(server);
        return gate == m_gates.end() ? permit {} : gate->second.admit(limit, m_lease.phase(), m_clock.now());
    }

    /// Record that a request was written, will not be written, or has ended; the term is that of its permit.
    void recordStarted(const server_id& server, term_number term) { m_gates.at(server).recordStarted(term); }
    void recordAbandoned(const server_id& server, term_number term) { m_gates.at(server).recordAbandoned(term); }
    void recordFinished(const server_id& server, term_number term) { m_gates.at(server).recordFinished(term); }

    void acceptReport(const server_id& server, const load_report& report)
    {
        if (const auto gate = m_gates.find(server); gate != m_gates.end())
            gate->second.acceptReport(report);
    }

    term_phase phase() const { return m_lease.phase(); }
    incarnation_number incarnation() const { return m_lease.incarnation(); }
    const std::optional<failure>& lastFailure() const { return m_lastFailure; }

    /// Returns the running requests of this daemon at a server under one term, whether or not it still owns the server.
    int runningCount(const server_id& server, term_number term) const
    {
        const auto gate = m_gates.find(server);
        return gate == m_gates.end() ? 0 : gate->second.runningCount(term);
    }

private:
    // Successors rely on a new incarnation meaning that nothing more is sent under the old one, so the windows must be
    // empty first.
    void reregisterIfDrained()
    {
        if (!m_lease.isLost() || m_isStopping)
            return;
        for (const auto& [server, gate] : m_gates) {
            if (gate.windowCount() > 0)
                return;
        }
        m_lease.reregister();
    }

    template <transactional_table Table>
    void poll(Table& table)
    {
        const time_point sentAt = m_clock.now();
        if (m_pollAt && sentAt < *m_pollAt)
            return;
        const read_attempt read = tryRead(table, std::string { termsPrefix }, m_rows.nextRevision());
        m_lastFailure = read.error;
        if (!read.page)
            return;
        m_rows.applyPoll(*read.page, sentAt, m_clock.now(), m_options.maxPollGap);
        m_pollAt = sentAt + m_options.pollInterval;
        if (const observed_renewal* own = m_rows.renewalOf(m_self))
            m_lease.recordOwnRevision(own->revision);
    }

    bool isOwnRow(const ownership_row& row) const
    {
        return m_lease.isHeld() && row.daemon == m_self && row.incarnation == m_lease.incarnation() && !row.isReleased;
    }

    void updateGates(const fleet_view& fleet)
    {
        const time_point now = m_clock.now();
        for (const auto& [server, known] : m_rows.ownerships())
            updateGate(server, known.row, now);
        for (auto& [server, gate] : m_gates) {
            // Without a running term no release can be committed, and a closed gate would waste the grace share.
            if (gate.isClosed() && m_lease.phase() != term_phase::Running)
                gate.reopen();
            if (gate.isOwned())
                markRetiredHolders(gate, m_rows.ownershipOf(server)->row, fleet, now);
        }
    }

    void updateGate(const server_id& server, const ownership_row& row, time_point now)
    {
        const auto gate = m_gates.find(server);
        if (isOwnRow(row)) {
            m_gates.try_emplace(server, m_options).first->second.acquire(row, now);
        } else if (gate != m_gates.end() && gate->second.isOwned()) {
            gate->second.relinquish();
            m_handovers.erase(server);
        }
    }

    void markRetiredHolders(server_gate& gate, const ownership_row& row, const fleet_view& fleet, time_point now)
    {
        for (const residual_share& share : row.formerHolders) {
            if (hasStoppedSending(share, m_rows.renewalOf(share.daemon), fleet))
                gate.markRetired(share.daemon, share.incarnation, now);
        }
    }

    void placeOwners(const fleet_view& fleet)
    {
        std::vector<fleet_daemon> candidates;
        for (const fleet_daemon& daemon : fleet.daemons) {
            const observed_renewal* renewal = m_rows.renewalOf(daemon.daemon);
            const bool isSelf = daemon.daemon == m_self;
            if (isSelf || (daemon.isAlive && renewal && !m_rows.isLapsed(*renewal, m_options.observeLength)))
                candidates.push_back(daemon);
        }
        m_placement.update(candidates, fleet.servers);
    }

    // Hands over a server that this daemon owns when due; otherwise removes obsolete shares from its row.
    template <transactional_table Table>
    void maintainOwnership(Table& table, const server_id& server)
    {
        server_gate& gate = m_gates.at(server);
        const observed_ownership known = *m_rows.ownershipOf(server);
        if (!isOwnRow(known.row))
            return;
        const time_point now = m_clock.now();
        const bool isDue = m_handovers.isDue(server, shouldHandOver(server), gate.isClosed(), now, m_options);
        if (m_isStopping || isDue || gate.isReleaseInDoubt())
            return handOver(table, server, known, now);
        if (gate.isClosed())
            gate.reopen();
        if (!gate.hasObsoleteShares(now))
            return;
        ownership_row row = known.row;
        row.formerHolders = gate.neededShares(now);
        write(table, server, row, { { .key = ownershipKey(server), .modRevision = known.revision } }, {});
    }

    bool shouldHandOver(const server_id& server) const
    {
        const daemon_id* first = m_placement.preferredOwner(server);
        return !first || *first != m_self;
    }

    template <transactional_table Table>
    void handOver(Table& table, const server_id& server, const observed_ownership& known, time_point now)
    {
        server_gate& gate = m_gates.at(server);
        if (!gate.isClosed())
            m_handovers.recordClosed(server, now);
        gate.close();
        const int running = gate.runningCount(known.row.term);
        const bool mayWait = running > 0 && now < m_handovers.closedSince(server) + m_options.drainTimeout;
        if (gate.windowCount() > 0 || mayWait)
            return;
        ownership_row row = known.row;
        row.isReleased = true;
        row.formerHolders = gate.neededShares(now);
        if (running > 0)
            row.formerHolders.push_back({ .daemon = m_self, .incarnation = row.incarnation, .term = row.term, .running = running });
        const commit_status status = write(table, server, row, { { .key = ownershipKey(server), .modRevision = known.revision } }, {});
        gate.setReleaseInDoubt(status == commit_status::Unknown || (status == commit_status::NotSent && gate.isReleaseInDoubt()));
    }

    template <transactional_table Table>
    void claimIfFree(Table& table, const server_id& server)
    {
        const auto ownRevision = m_lease.rowRevision();
        if (!ownRevision || m_lease.phase() != term_phase::Running)
            return;
        const observed_ownership* known = m_rows.ownershipOf(server);
        if (known && isOwnRow(known->row))
            return;
        const observed_renewal* former = known ? m_rows.renewalOf(known->row.daemon) : nullptr;
        const bool isFormerLapsed = former && m_rows.isLapsed(*former, m_options.observeLength);
        const takeover_request request { .server = server, .self = m_self, .incarnation = m_lease.incarnation(), .ownRevision = *ownRevision };
        const auto plan = planTakeover(request, known, former, isFormerLapsed, m_options.rules);
        if (plan)
            write(table, server, plan->row, plan->conditions, plan->furtherWrites);
    }

    template <transactional_table Table>
    commit_status write(Table& table, const server_id& server, const ownership_row& row, const std::vector<row_condition>& conditions,
        const std::vector<row_write>& furtherWrites)
    {
        if (m_commitsLeft <= 0)
            return commit_status::NotSent;
        --m_commitsLeft;
        std::vector<row_write> writes = furtherWrites;
        writes.push_back({ .key = ownershipKey(server), .value = format(row) });
        const commit_attempt outcome = tryCommit(table, conditions, writes);
        const time_point now = m_clock.now();
        m_lastFailure = outcome.error;
        // After a lost reply, the next poll shows whether the write took effect.
        for (const table_row& seen : outcome.commit.seen)
            m_rows.apply(seen, now);
        if (outcome.status != commit_status::Succeeded)
            return outcome.status;
        for (const row_write& done : writes)
            m_rows.apply({ .key = done.key, .value = done.value, .modRevision = outcome.commit.revision }, now);
        updateGate(server, row, now);
        return outcome.status;
    }

    template <transactional_table Table>
    void releaseTerm(Table& table)
    {
        if (ownedServers().empty())
            m_lease.release(table);
    }

    const Clock& m_clock;
    daemon_id m_self;
    term_options m_options;
    term_lease<Clock> m_lease;
    replicated_rows m_rows;
    owner_placement m_placement;
    handover_schedule m_handovers;
    std::unordered_map<server_id, server_gate> m_gates;
    std::optional<time_point> m_pollAt;
    std::optional<failure> m_lastFailure;
    int m_commitsLeft = 0;
    bool m_isStopping = false;
};

} // namespace radishflow
