// Implements server_gate. The rules follow models/residual_allowance.pml; docs/design/ownership.md gives the reasons
// for each rule.
#include "radishflow/Terms/server_gate.h"

#include <algorithm>
#include <cassert>

namespace radishflow {

void server_gate::acquire(const ownership_row& row, time_point observedAt)
{
    std::vector<former_holder> formerHolders;
    for (const residual_share& share : row.formerHolders) {
        const auto known = std::find_if(m_formerHolders.begin(), m_formerHolders.end(),
            [&](const former_holder& former) { return former.share.term == share.term; });
        const bool isKnown = known != m_formerHolders.end();
        // A holder that recorded its running requests at its release had closed its gate before.
        const auto retiredAt = isKnown ? known->retiredAt : (share.running ? std::optional { observedAt } : std::nullopt);
        formerHolders.push_back({ .share = share, .retiredAt = retiredAt });
    }
    m_formerHolders = std::move(formerHolders);
    if (m_isOwned && m_term == row.term)
        return;
    m_isOwned = true;
    m_isClosed = false;
    m_isReleaseInDoubt = false;
    m_isSettled = false;
    m_settledLimit = 0;
    m_term = row.term;
    m_ownedSince = observedAt;
    m_accountSince = observedAt;
    m_counts.try_emplace(row.term);
}

permit server_gate::refuse(refusal_reason reason, int allowedCount) const
{
    return { .isGranted = false, .reason = reason, .term = m_term, .allowed = allowedCount };
}

permit server_gate::admit(int limit, term_phase phase, time_point now)
{
    if (!m_isOwned || phase == term_phase::Ended)
        return refuse(refusal_reason::NotOwner);
    if (m_isClosed)
        return refuse(refusal_reason::HandingOver);
    const limit_division division = divide(limit);
    if (phase == term_phase::Running)
        settle(limit, division, now);
    const bool mustBeSettled = phase == term_phase::Running || m_options.rules.graceRequiresSettled;
    if (!m_isSettled && mustBeSettled)
        return refuse(refusal_reason::Unsettled);
    const int allowedCount = allowed(limit, division, phase, now);
    term_count& count = m_counts.at(m_term);
    if (count.window + count.running >= allowedCount)
        return refuse(phase == term_phase::Grace ? refusal_reason::AtGraceShare : refusal_reason::AtLimit, allowedCount);
    if (count.window >= m_options.window)
        return refuse(refusal_reason::WindowFull, allowedCount);
    ++count.window;
    return { .isGranted = true, .reason = refusal_reason::None, .term = m_term, .allowed = allowedCount };
}

void server_gate::recordStarted(term_number term)
{
    term_count& count = m_counts.at(term);
    assert(count.window > 0 && "recordStarted() requires a granted permit");
    --count.window;
    ++count.running;
}

void server_gate::recordAbandoned(term_number term)
{
    term_count& count = m_counts.at(term);
    assert(count.window > 0 && "recordAbandoned() requires a granted permit");
    --count.window;
}

void server_gate::recordFinished(term_number term)
{
    term_count& count = m_counts.at(term);
    assert(count.running > 0 && "recordFinished() requires a started request");
    --count.running;
}

void server_gate::acceptReport(load_report report)
{
    if (m_report && report.takenAfter < m_report->takenAfter)
        return;
    m_report = std::move(report);
}

void server_gate::markRetired(const daemon_id& daemon, incarnation_number incarnation, time_point now)
{
    for (former_holder& former : m_formerHolders) {
        if (former.retiredAt || former.share.daemon != daemon || former.share.incarnation > incarnation)
            continue;
        former.retiredAt = now;
    }
}

// Requests that a former holder wrote just before that time may still be in transit, hence the margin.
bool server_gate::hasReportAfter(time_point moment) const
{
    return m_report && m_report->takenAfter >= moment + m_options.arrivalMargin;
}

int server_gate::reportedRunning(const residual_share& share) const
{
    if (!m_report->hasOrigins)
        return m_report->running;
    const auto origin = m_report->runningByOrigin.find(share.term);
    return origin == m_report->runningByOrigin.end() ? 0 : origin->second;
}

limit_division server_gate::divide(int limit) const
{
    std::vector<residual_share> shares;
    shares.reserve(m_formerHolders.size());
    for (const former_holder& former : m_formerHolders)
        shares.push_back(former.share);
    return divideLimit(limit, shares, m_options.rules.reserveWindow ? m_options.window : 0);
}

bool server_gate::isAccounted(const former_holder& former, int graceShare, time_point now) const
{
    if (isOwnFormerTerm(former) || former.share.running || now >= m_accountSince + m_options.maxRequestDuration)
        return true;
    return hasReportAfter(m_accountSince) && reportedRunning(former.share) <= graceShare;
}

bool server_gate::isSumAccounted(const limit_division& division) const
{
    int foreign = 0;
    int reserved = 0;
    for (std::size_t index = 0; index < m_formerHolders.size(); ++index) {
        foreign += m_report ? reportedRunning(m_formerHolders[index].share) : 0;
        reserved += division.formerGraceShares[index];
    }
    return hasReportAfter(m_accountSince) && foreign <= reserved;
}

bool server_gate::areAllAccounted(const limit_division& division, time_point now) const
{
    if (!m_options.rules.waitForReport)
        return true;
    if (!m_options.rules.reportByOrigin)
        return isSumAccounted(division);
    for (std::size_t index = 0; index < m_formerHolders.size(); ++index) {
        if (!isAccounted(m_formerHolders[index], division.formerGraceShares[index], now))
            return false;
    }
    return true;
}

// Once a report shows former holders within their grace shares, they stay within them. When the limit decreases, those
// shares decrease too, and a newer report has to confirm them again.
void server_gate::settle(int limit, const limit_division& division, time_point now)
{
    if (m_isSettled && limit < m_settledLimit) {
        m_isSettled = false;
        m_accountSince = now;
    }
    if (!m_isSettled)
        m_isSettled = areAllAccounted(division, now);
    if (m_isSettled)
        m_settledLimit = limit;
}

int server_gate::reservedFor(const former_holder& former, int graceShare, time_point now) const
{
    if (isOwnFormerTerm(former)) {
        const term_count& count = m_counts.at(former.share.term);
        return count.window + count.running;
    }
    const int window = m_options.rules.reserveWindow ? m_options.window : 0;
    const int maxRunning = former.share.running ? graceShare : graceShare + window;
    if (former.retiredAt) {
        if (now >= *former.retiredAt + m_options.maxRequestDuration)
            return 0;
        return hasReportAfter(*former.retiredAt) ? std::min(maxRunning, reportedRunning(former.share)) : maxRunning;
    }
    // An eighth of the grace period allows for a former holder whose clock is slower than this one.
    const time_point graceEnd = m_ownedSince + m_options.gracePeriod + m_options.gracePeriod / 8;
    const bool isGraceOver = now >= graceEnd + m_options.maxRequestDuration
        || (now >= graceEnd && hasReportAfter(graceEnd) && reportedRunning(former.share) == 0);
    // No timeout bounds how long a request stays in the window, so the window stays reserved until the holder is known
    // to have stopped sending.
    return isGraceOver ? window : maxRunning;
}

int server_gate::allowed(int limit, const limit_division& division, term_phase phase, time_point now) const
{
    int available = limit;
    for (std::size_t index = 0; index < m_formerHolders.size(); ++index)
        available -= reservedFor(m_formerHolders[index], division.formerGraceShares[index], now);
    available = std::max(available, 0);
    if (phase == term_phase::Running)
        return available;
    // A successor only has the row, so the grace share is computed from the row and not from later reports.
    return std::min(available, graceShareOf(division.remaining));
}

bool server_gate::hasObsoleteShares(time_point now) const
{
    return neededShares(now).size() < m_formerHolders.size();
}

std::vector<residual_share> server_gate::neededShares(time_point now) const
{
    std::vector<residual_share> needed;
    for (const former_holder& former : m_formerHolders) {
        // The value 1 stands for any nonzero grace share: a share is obsolete only if its holder has stopped sending
        // and has nothing running.
        const bool hasStoppedSending = former.retiredAt || isOwnFormerTerm(former);
        if (!hasStoppedSending || reservedFor(former, former.share.running.value_or(1), now) > 0)
            needed.push_back(former.share);
    }
    return needed;
}

int server_gate::windowCount() const
{
    int total = 0;
    for (const auto& [term, count] : m_counts)
        total += count.window;
    return total;
}

int server_gate::runningCount(term_number term) const
{
    const auto count = m_counts.find(term);
    return count == m_counts.end() ? 0 : count->second.running;
}

} // namespace radishflow
