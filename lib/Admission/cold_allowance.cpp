// Implements cold_allowance. Growth counts completions because a server that completes nothing has shown nothing,
// however long it has been up.
#include "radishflow/Admission/cold_allowance.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace radishflow {

const char* nameOf(cold_reason reason)
{
    switch (reason) {
    case cold_reason::Unknown:
        return "unknown";
    case cold_reason::ProcessChanged:
        return "process changed";
    case cold_reason::CounterFellBack:
        return "counter fell back";
    case cold_reason::ConnectionReset:
        return "connection reset";
    case cold_reason::SlowFirstTokens:
        return "slow first tokens";
    }
    return "unknown";
}

cold_allowance::cold_allowance(const cold_allowance_options& options)
    : m_options(options)
    , m_limit(std::min(options.coldLimit, options.fullLimit))
{
    assert(options.coldLimit > 0 && "a server that bears nothing can't warm up");
}

bool cold_allowance::mayDispatch() const
{
    return m_limit <= m_options.coldLimit || unproven() < std::max(m_options.unprovenLimit, m_options.coldLimit);
}

std::uint64_t cold_allowance::dispatched()
{
    m_unproven.insert(++m_lastTicket);
    return m_lastTicket;
}

void cold_allowance::firstToken(std::uint64_t ticket, duration wait)
{
    if (isStale(ticket))
        return;
    if (wait <= m_options.slowFirstToken) {
        m_slowFirstTokens = 0;
        m_unproven.erase(ticket);
        return;
    }
    ++m_slowFirstTokens;
    // A cold server is slow by nature and has not turned cold again.
    const bool isAtColdLimit = m_limit <= m_options.coldLimit;
    if (m_slowFirstTokens >= m_options.slowFirstTokensOfColdTurn && !isAtColdLimit)
        turnCold(cold_reason::SlowFirstTokens);
}

void cold_allowance::completed(std::uint64_t ticket)
{
    if (isStale(ticket))
        return;
    m_unproven.erase(ticket);
    ++m_completions;
    if (m_completions < m_options.completionsPerStep || m_slowFirstTokens > 0)
        return;
    m_completions = 0;
    m_limit = std::min(m_limit + 1, m_options.fullLimit);
}

void cold_allowance::abandoned(std::uint64_t ticket)
{
    m_unproven.erase(ticket);
}

bool cold_allowance::isOtherProcess(const server_sample& sample) const
{
    constexpr double roundingSeconds = 0.5;
    if (!sample.processStart || !m_sample.processStart)
        return false;
    return std::abs(*sample.processStart - *m_sample.processStart) > roundingSeconds;
}

void cold_allowance::observe(const server_sample& sample)
{
    if (isOtherProcess(sample))
        turnCold(cold_reason::ProcessChanged);
    else if (sample.completed && m_sample.completed && *sample.completed < *m_sample.completed)
        turnCold(cold_reason::CounterFellBack);
    m_sample.processStart = sample.processStart ? sample.processStart : m_sample.processStart;
    m_sample.completed = sample.completed ? sample.completed : m_sample.completed;
}

void cold_allowance::turnCold(cold_reason reason)
{
    m_limit = std::min(m_options.coldLimit, m_options.fullLimit);
    m_completions = 0;
    m_slowFirstTokens = 0;
    m_unproven.clear();
    m_firstOfEpoch = m_lastTicket + 1;
    m_reason = reason;
    ++m_epoch;
}

} // namespace radishflow
