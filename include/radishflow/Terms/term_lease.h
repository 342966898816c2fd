// Declares term_lease, the state machine that registers a daemon and renews the lease on all servers that it owns.
#pragma once

#include "radishflow/Terms/commit_attempt.h"
#include "radishflow/Terms/renewal_row.h"
#include "radishflow/Terms/server_gate.h"
#include "radishflow/Terms/term_options.h"

#include <algorithm>
#include <cassert>
#include <optional>

namespace radishflow {

/// Registers an incarnation and renews it. Not thread-safe. Its state is consistent during calls to the table, so a
/// table may release the caller's lock while it waits for the network.
template <monotonic_clock Clock>
class term_lease {
public:
    term_lease(const Clock& clock, daemon_id self, const term_options& options, std::uint64_t nonce)
        : m_clock(clock)
        , m_self(std::move(self))
        , m_options(options)
        , m_nonce(nonce)
    {
        assert(options.observeLength > options.termLength && "observeLength must exceed termLength");
    }

    /// Registers, renews when due, or resolves a write whose outcome is unknown.
    template <transactional_table Table>
    void step(Table& table)
    {
        if (m_state == lease_state::Released || m_state == lease_state::Superseded)
            return;
        if (m_pending || m_state == lease_state::Starting) {
            readBack(table);
            if (m_pending)
                return;
        }
        if (m_state == lease_state::Starting && m_hasReadBack)
            commitRow(table, { .incarnation = nextIncarnation(), .nonce = m_nonce, .sequence = m_row.sequence + 1 });
        else if (m_state == lease_state::Held && m_clock.now() >= m_renewAt)
            commitRow(table, nextRow(renewal_state::Live));
    }

    /// Records in the table that this daemon has released its servers; returns true once that is committed or the lease
    /// is lost.
    template <transactional_table Table>
    bool release(Table& table)
    {
        if (m_state == lease_state::Held && !m_pending)
            commitRow(table, nextRow(renewal_state::Released));
        else if (m_pending)
            readBack(table);
        return m_state != lease_state::Held;
    }

    /// Records the revision of this daemon's own row in a poll. A newer revision was written by another daemon or
    /// process, so a renewal becomes due at once and detects the loss.
    void recordOwnRevision(std::int64_t revision)
    {
        if (m_state == lease_state::Held && revision > m_revision)
            m_renewAt = m_clock.now();
    }

    /// Registers a new incarnation after a loss; the windows of all gates must be empty.
    void reregister()
    {
        assert(m_state == lease_state::Lost && "only a lost lease can be registered again");
        m_state = lease_state::Starting;
        m_hasReadBack = false;
    }

    term_phase phase() const
    {
        if (m_state != lease_state::Held || !m_lapsesAt)
            return term_phase::Ended;
        const time_point now = m_clock.now();
        if (now < *m_lapsesAt)
            return term_phase::Running;
        return now < *m_lapsesAt + m_options.gracePeriod ? term_phase::Grace : term_phase::Ended;
    }

    bool isLost() const { return m_state == lease_state::Lost; }
    bool isReleased() const { return m_state == lease_state::Released; }
    /// Returns whether another process has registered under this daemon's name; this process should then exit.
    bool isSuperseded() const { return m_state == lease_state::Superseded; }
    bool isHeld() const { return m_state == lease_state::Held; }
    incarnation_number incarnation() const { return m_row.incarnation; }

    /// Returns the revision of the live row for use in conditions, or nothing while a write is pending.
    std::optional<std::int64_t> rowRevision() const
    {
        return m_state == lease_state::Held && !m_pending ? std::optional { m_revision } : std::nullopt;
    }

    const std::optional<failure>& lastFailure() const { return m_lastFailure; }

private:
    enum class lease_state {
        Starting,
        Held,
        Lost,
        Released,
        Superseded,
    };

    struct pending_attempt {
        renewal_row row;
        time_point sentAt;
    };

    renewal_row nextRow(renewal_state state) const
    {
        return { .incarnation = m_row.incarnation, .nonce = m_nonce, .sequence = m_row.sequence + 1, .state = state };
    }

    incarnation_number nextIncarnation() const
    {
        return std::max(m_row.incarnation.next(), incarnation_number { m_options.minIncarnation });
    }

    bool isOwnLiveRow(const renewal_row& row) const
    {
        const incarnation_number expected = m_pending ? m_pending->row.incarnation : m_row.incarnation;
        return row.nonce == m_nonce && row.incarnation == expected && row.state == renewal_state::Live;
    }

    template <transactional_table Table>
    void commitRow(Table& table, const renewal_row& row)
    {
        m_pending = pending_attempt { .row = row, .sentAt = m_clock.now() };
        const std::int64_t expected = m_revision;
        const commit_attempt outcome = tryCommit(table, { { .key = renewalKey(m_self), .modRevision = expected } },
            { { .key = renewalKey(m_self), .value = format(row) } });
        m_lastFailure = outcome.error;
        switch (outcome.status) {
        case commit_status::Succeeded:
            return recordCommitted(row, outcome.commit.revision);
        case commit_status::Conflict:
            return readBack(table);
        case commit_status::NotSent:
            m_pending.reset();
            return;
        case commit_status::Unknown:
            return;
        }
    }

    // The term is measured from before the request was sent, which is certainly earlier than the write took effect.
    void recordCommitted(const renewal_row& row, std::int64_t revision)
    {
        const time_point from = m_options.rules.termFromSending ? m_pending->sentAt : m_clock.now();
        if (row.sequence == m_pending->row.sequence) {
            m_lapsesAt = from + m_options.termLength;
            m_renewAt = from + m_options.renewInterval;
        } else {
            // An earlier write took effect late. It does not extend the term; the next step renews.
            m_renewAt = m_clock.now();
            m_lapsesAt = m_lapsesAt ? m_lapsesAt : m_renewAt;
        }
        const bool isReleasedRow = row.state == renewal_state::Released;
        m_row = row;
        // Sequence numbers are not reused, so a delayed write cannot be mistaken for a newer one.
        m_row.sequence = std::max(row.sequence, m_pending->row.sequence);
        m_revision = revision;
        m_pending.reset();
        m_state = isReleasedRow ? lease_state::Released : lease_state::Held;
    }

    template <transactional_table Table>
    void readBack(Table& table)
    {
        const std::string key = renewalKey(m_self);
        const read_attempt read = tryRead(table, key, 0);
        m_lastFailure = read.error;
        if (!read.page)
            return;
        const auto found = std::find_if(read.page->rows.begin(), read.page->rows.end(),
            [&](const table_row& row) { return row.key == key; });
        const bool isPresent = found != read.page->rows.end();
        resolvePending(isPresent ? parseRenewalRow(found->value) : std::nullopt, isPresent ? found->modRevision : 0);
    }

    void resolvePending(const std::optional<renewal_row>& row, std::int64_t revision)
    {
        m_hasReadBack = true;
        if (m_pending && row && *row == m_pending->row)
            return recordCommitted(*row, revision);
        if (m_pending && row && isOwnLiveRow(*row) && revision != m_revision)
            return recordCommitted(*row, revision);
        const std::optional<pending_attempt> unsettled = std::exchange(m_pending, std::nullopt);
        if (revision == m_revision) {
            // The write has not taken effect so far. The next one has the same condition, so at most one of them succeeds.
            if (unsettled)
                m_row.sequence = std::max(m_row.sequence, unsettled->row.sequence);
            return;
        }
        if (m_state == lease_state::Held)
            return recordLoss(row.value_or(renewal_row {}));
        m_revision = revision;
        m_row = row.value_or(renewal_row {});
    }

    // A newer process of the same name keeps the name: registering again would only take it away from that process.
    void recordLoss(const renewal_row& row)
    {
        const bool isNewerProcess = row.nonce != m_nonce && row.incarnation > m_row.incarnation;
        m_state = isNewerProcess ? lease_state::Superseded : lease_state::Lost;
        m_pending.reset();
        m_lapsesAt.reset();
    }

    const Clock& m_clock;
    daemon_id m_self;
    term_options m_options;
    std::uint64_t m_nonce;
    lease_state m_state = lease_state::Starting;
    bool m_hasReadBack = false;
    renewal_row m_row; ///< Last known row; its sequence is the last one used.
    std::int64_t m_revision = 0;
    std::optional<pending_attempt> m_pending;
    std::optional<time_point> m_lapsesAt;
    time_point m_renewAt;
    std::optional<failure> m_lastFailure;
};

} // namespace radishflow
