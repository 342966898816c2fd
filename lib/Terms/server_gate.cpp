// Implements server_gate. The names are those of models/residual_allowance.pml; docs/design/ownership.md
// has the reasons for each rule.
#include "radishflow/Terms/server_gate.h"

#include <algorithm>
#include <cassert>

namespace radishflow {

void server_gate::own(const ownership_row& row, time_point learntAt)
{
    std::vector<former_holder> formerHolders;
    for (const residual_share& share : row.formerHolders) {
        const auto known = std::find_if(m_formerHolders.begin(), m_formerHolders.end(),
            [&](const former_holder& former) { return former.share.term == share.term; });
        const bool isKnown = known != m_formerHolders.end();
        // A holder that stated its running work at its release had closed its gate before.
        const auto goneAt = isKnown ? known->goneAt : (share.running ? std::optional { learntAt } : std::nullopt);
        formerHolders.push_back({ .share = share, .goneAt = goneAt });
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
    m_ownedSince = learntAt;
    m_accountSince = learntAt;
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
    const bool mustBeSettled = phase == term_phase::Running || m_options.rules.darkNeedsSettled;
    if (!m_isSettled && mustBeSettled)
        return refuse(refusal_reason::Unsettled);
    const int allowedCount = allowed(limit, division, phase, now);
    term_count& count = m_counts.at(m_term);
    if (count.window + count.running >= allowedCount)
        return refuse(phase == term_phase::Grace ? refusal_reason::AtDarkShare : refusal_reason::AtLimit, allowedCount);
    if (count.window >= m_options.window)
        return refuse(refusal_reason::WindowFull, allowedCount);
    ++count.window;
    return { .isGranted = true, .reason = refusal_reason::None, .term = m_term, .allowed = allowedCount };
}

void server_gate::started(term_number term)
{
    term_count& count = m_counts.at(term);
    assert(count.window > 0 && "a request is started after its permit");
    --count.window;
    ++count.running;
}

void server_gate::abandoned(term_number term)
{
    term_count& count = m_counts.at(term);
    assert(count.window > 0 && "a request is abandoned after its permit");
    --count.window;
}

void server_gate::finished(term_number term)
{
    term_count& count = m_counts.at(term);
    assert(count.running > 0 && "a request finishes after it started");
    --count.running;
}

void server_gate::acceptReport(load_report report)
{
    if (m_report && report.takenAfter < m_report->takenAfter)
        return;
    m_report = std::move(report);
}

void server_gate::markGone(const daemon_id& daemon, incarnation_number incarnation, time_point now)
{
    for (former_holder& former : m_formerHolders) {
        if (former.goneAt || former.share.daemon != daemon || former.share.incarnation > incarnation)
            continue;
        former.goneAt = now;
    }
}

// Bytes that a former holder wrote just before can still be on their way, hence the margin.
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

bool server_gate::isAccounted(const former_holder& former, int dark, time_point now) const
{
    if (isHeldHere(former) || former.share.running || now >= m_accountSince + m_options.maxRequestDuration)
        return true;
    return hasReportAfter(m_accountSince) && reportedRunning(former.share) <= dark;
}

bool server_gate::isSumAccounted(const limit_division& division) const
{
    int foreign = 0;
    int reserved = 0;
    for (std::size_t index = 0; index < m_formerHolders.size(); ++index) {
        foreign += m_report ? reportedRunning(m_formerHolders[index].share) : 0;
        reserved += division.formerDark[index];
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
        if (!isAccounted(m_formerHolders[index], division.formerDark[index], now))
            return false;
    }
    return true;
}

// Former holders keep within their dark shares from the time that a report shows them there. When the limit
// falls, those shares fall too, and a newer report has to show it.
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

int server_gate::reservedFor(const former_holder& former, int dark, time_point now) const
{
    if (isHeldHere(former)) {
        const term_count& count = m_counts.at(former.share.term);
        return count.window + count.running;
    }
    const int window = m_options.rules.reserveWindow ? m_options.window : 0;
    const int most = former.share.running ? dark : dark + window;
    if (former.goneAt) {
        if (now >= *former.goneAt + m_options.maxRequestDuration)
            return 0;
        return hasReportAfter(*former.goneAt) ? std::min(most, reportedRunning(former.share)) : most;
    }
    // The former holder's clock may be slower than this one.
    const time_point darkEnd = m_ownedSince + m_options.darkLimit + m_options.darkLimit / 8;
    const bool isDarkOver = now >= darkEnd + m_options.maxRequestDuration
        || (now >= darkEnd && hasReportAfter(darkEnd) && reportedRunning(former.share) == 0);
    // A request in the window escapes every clock, so the window stays until the holder is known to be gone.
    return isDarkOver ? window : most;
}

int server_gate::allowed(int limit, const limit_division& division, term_phase phase, time_point now) const
{
    int whole = limit;
    for (std::size_t index = 0; index < m_formerHolders.size(); ++index)
        whole -= reservedFor(m_formerHolders[index], division.formerDark[index], now);
    whole = std::max(whole, 0);
    if (phase == term_phase::Running)
        return whole;
    // A successor knows the row only, so the dark share follows from the row and not from later reports.
    return std::min(whole, darkShareOf(division.remaining));
}

bool server_gate::hasObsoleteShares(time_point now) const
{
    return neededShares(now).size() < m_formerHolders.size();
}

std::vector<residual_share> server_gate::neededShares(time_point now) const
{
    std::vector<residual_share> needed;
    for (const former_holder& former : m_formerHolders) {
        // Any dark share above zero would do: only a holder that is gone and has nothing running is left out.
        const bool sendsNoMore = former.goneAt || isHeldHere(former);
        if (!sendsNoMore || reservedFor(former, former.share.running.value_or(1), now) > 0)
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
