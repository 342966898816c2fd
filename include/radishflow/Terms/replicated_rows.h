// Declares replicated_rows, a daemon's copy of the renewal and ownership rows.
#pragma once

#include "radishflow/Support/monotonic_clock.h"
#include "radishflow/Support/table_row.h"
#include "radishflow/Terms/ownership_row.h"
#include "radishflow/Terms/renewal_row.h"

#include <optional>
#include <unordered_map>

namespace radishflow {

struct observed_renewal {
    renewal_row row;
    std::int64_t revision = 0;
    time_point unchangedSince; ///< When this daemon received this revision, or later when its polls had a gap.
};

struct observed_ownership {
    ownership_row row;
    std::int64_t revision = 0;
};

/// Not thread-safe.
class replicated_rows {
public:
    /// Applies the result of a poll. After a gap longer than maxPollGap the observation of every renewal restarts,
    /// since an outage of the table prevents all daemons from renewing.
    void applyPoll(const table_page&, time_point sentAt, time_point receivedAt, duration maxPollGap);

    /// Applies one row, for instance one that this daemon wrote; ignores revisions that are not newer.
    void apply(const table_row&, time_point observedAt);

    /// Returns the lowest revision that the next poll has to read.
    std::int64_t nextRevision() const { return m_revision + 1; }
    bool hasPolled() const { return m_lastPollSentAt.has_value(); }

    const observed_renewal* renewalOf(const daemon_id&) const;
    const observed_ownership* ownershipOf(const server_id&) const;
    const std::unordered_map<server_id, observed_ownership>& ownerships() const { return m_ownerships; }

    /// Returns whether a daemon's row is not live or has been unchanged for observeLength.
    bool isLapsed(const observed_renewal&, duration observeLength) const;

private:
    std::unordered_map<daemon_id, observed_renewal> m_renewals;
    std::unordered_map<server_id, observed_ownership> m_ownerships;
    std::int64_t m_revision = 0;
    std::optional<time_point> m_lastPollSentAt;
};

} // namespace radishflow
