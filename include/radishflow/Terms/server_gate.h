// Declares server_gate, the admission control of one daemon at one backend server.
#pragma once

#include "radishflow/Terms/load_report.h"
#include "radishflow/Terms/ownership_row.h"
#include "radishflow/Terms/permit.h"
#include "radishflow/Terms/share_arithmetic.h"
#include "radishflow/Terms/term_options.h"

#include <cassert>
#include <map>
#include <optional>
#include <vector>

namespace radishflow {

/// Phase of a daemon's term on its own clock.
enum class term_phase {
    Running,
    Grace, ///< Lapsed; the grace share may still be used.
    Ended, ///< Lost, or lapsed for longer than the grace period.
};

/// Bounds this daemon's requests at one server by the server's limit less what former holders may still run there.
/// Requests that are admitted and not yet written form the window, whose size is bounded. Not thread-safe; all times
/// are on the owner's clock.
class server_gate {
public:
    explicit server_gate(const term_options& options)
        : m_options(options)
    {
        assert(options.arrivalMargin > duration::zero() && "a report taken at the same time does not show later requests");
    }

    /// Applies the row that makes this daemon the holder; a row of the same term only updates the former holders.
    void acquire(const ownership_row&, time_point observedAt);
    void relinquish() { m_isOwned = false; }
    bool isOwned() const { return m_isOwned; }

    /// Refuses all requests, so that the window drains before a release.
    void close() { m_isClosed = true; }
    bool isClosed() const { return m_isClosed; }

    /// Reopens the gate unless the outcome of a release is unknown, since the release may still take effect.
    void reopen() { m_isClosed = m_isReleaseInDoubt; }
    void setReleaseInDoubt(bool isInDoubt) { m_isReleaseInDoubt = isInDoubt; }
    bool isReleaseInDoubt() const { return m_isReleaseInDoubt; }

    /// Decides whether a request may be written. A granted permit enters the window.
    permit admit(int limit, term_phase, time_point now);

    /// Record that a request was written, will not be written, or has ended; the term is that of its permit.
    void recordStarted(term_number);
    void recordAbandoned(term_number);
    void recordFinished(term_number);

    /// Ignores reports older than the last one.
    void acceptReport(load_report);

    /// Records that the daemon sends nothing more under this or an older incarnation.
    void markRetired(const daemon_id&, incarnation_number, time_point now);

    /// Return whether the row lists a former holder that no longer needs a share, and the shares still needed.
    bool hasObsoleteShares(time_point now) const;
    std::vector<residual_share> neededShares(time_point now) const;

    int windowCount() const;
    int runningCount(term_number) const;
    term_number term() const { return m_term; }

private:
    struct term_count {
        int window = 0;
        int running = 0;
    };

    struct former_holder {
        residual_share share;
        std::optional<time_point> retiredAt;
    };

    bool hasReportAfter(time_point) const;
    int reportedRunning(const residual_share&) const;
    bool isOwnFormerTerm(const former_holder& former) const { return m_counts.contains(former.share.term); }
    bool isAccounted(const former_holder&, int graceShare, time_point now) const;
    bool areAllAccounted(const limit_division&, time_point now) const;
    bool isSumAccounted(const limit_division&) const;
    int reservedFor(const former_holder&, int graceShare, time_point now) const;
    void settle(int limit, const limit_division&, time_point now);
    int allowed(int limit, const limit_division&, term_phase, time_point now) const;
    limit_division divide(int limit) const;
    permit refuse(refusal_reason reason, int allowedCount = 0) const;

    term_options m_options;
    bool m_isOwned = false;
    bool m_isClosed = false;
    bool m_isReleaseInDoubt = false;
    bool m_isSettled = false;
    int m_settledLimit = 0;
    term_number m_term;
    time_point m_ownedSince;
    time_point m_accountSince; ///< Only later reports can account for former holders.
    std::vector<former_holder> m_formerHolders;
    std::map<term_number, term_count> m_counts; ///< For every term that this process has held at this server.
    std::optional<load_report> m_report;
};

} // namespace radishflow
