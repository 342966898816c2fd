// Declares server_gate, which counts the work that this daemon has at one backend server against its share.
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

/// Where a daemon's term stands on its own clock.
enum class term_phase {
    Running,
    Grace, ///< Lapsed; the dark share may be used.
    Ended, ///< Lost, or lapsed for longer than the dark limit.
};

/// The share of one server. Not thread-safe; times are the owner's.
class server_gate {
public:
    explicit server_gate(const term_options& options)
        : m_options(options)
    {
        assert(options.arrivalMargin > duration::zero() && "a report of the same moment shows nothing of what follows");
    }

    /// Takes on the row that makes this daemon the holder; a row of the same term only renews the former holders.
    void own(const ownership_row&, time_point learntAt);
    void disown() { m_isOwned = false; }
    bool isOwned() const { return m_isOwned; }

    /// Refuses all work, so that the window can empty before a release.
    void close() { m_isClosed = true; }
    bool isClosed() const { return m_isClosed; }

    /// Opens the gate again unless a release is in doubt, which may still take effect.
    void reopen() { m_isClosed = m_isReleaseInDoubt; }
    void setReleaseInDoubt(bool isInDoubt) { m_isReleaseInDoubt = isInDoubt; }
    bool isReleaseInDoubt() const { return m_isReleaseInDoubt; }

    /// The last check before the write. A granted permit enters the window.
    permit admit(int limit, term_phase, time_point now);

    /// The request was written, was not written, or has ended; the term is its permit's.
    void started(term_number);
    void abandoned(term_number);
    void finished(term_number);

    void acceptReport(load_report);

    /// A former holder of this or an older incarnation is known to send no more.
    void markGone(const daemon_id&, incarnation_number, time_point now);

    /// Returns whether a former holder can be left out of the row, and the list without those.
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
        std::optional<time_point> goneAt;
    };

    bool hasReportAfter(time_point) const;
    int reportedRunning(const residual_share&) const;
    bool isHeldHere(const former_holder& former) const { return m_counts.contains(former.share.term); }
    bool isAccounted(const former_holder&, int dark, time_point now) const;
    bool areAllAccounted(const limit_division&, time_point now) const;
    bool isSumAccounted(const limit_division&) const;
    int reservedFor(const former_holder&, int dark, time_point now) const;
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
    time_point m_accountSince; ///< Reports before this settle nothing.
    std::vector<former_holder> m_formerHolders;
    std::map<term_number, term_count> m_counts; ///< Of every term that this process has held here.
    std::optional<load_report> m_report;
};

} // namespace radishflow
