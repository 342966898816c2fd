// Implements cold_start_limiter. The limit grows with completions, not with time: a server that completes no requests gives
// no evidence that it is warm, however long it has been up.
#include "radishflow/Admission/cold_start_limiter.h"

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
    case cold_reason::CounterDecreased:
        return "counter decreased";
    case cold_reason::ConnectionReset:
        return "connection reset";
    case cold_reason::SlowFirstTokens:
        return "slow first tokens";
    }
    return "unknown";
}

cold_start_limiter::cold_start_limiter(const cold_start_limiter_options& options)
    : m_options(options)
    , m_limit(std::min(options.coldLimit, options.fullLimit))
{
    assert(options.coldLimit > 0 && "a server that may run no request cannot warm up");
}

bool cold_start_limiter::canDispatch() const
{
    return m_limit <= m_options.coldLimit || unconfirmed() < std::max(m_options.unconfirmedLimit, m_options.coldLimit);
}

std::uint64_t cold_start_limiter::recordDispatch()
{
    m_unconfirmed.insert(++m_lastDispatch);
    return m_lastDispatch;
}

void cold_start_limiter::recordFirstToken(std::uint64_t dispatchNumber, duration wait)
{
    if (isFromEarlierEpoch(dispatchNumber))
        return;
    if (wait <= m_options.slowFirstTokenThreshold) {
        m_slowFirstTokens = 0;
        m_unconfirmed.erase(dispatchNumber);
        return;
    }
    ++m_slowFirstTokens;
    // Slow first tokens are expected from a cold server, so they are no evidence of a restart.
    const bool isAtColdLimit = m_limit <= m_options.coldLimit;
    if (m_slowFirstTokens >= m_options.slowFirstTokensBeforeReset && !isAtColdLimit)
        resetToCold(cold_reason::SlowFirstTokens);
}

void cold_start_limiter::recordCompletion(std::uint64_t dispatchNumber)
{
    if (isFromEarlierEpoch(dispatchNumber))
        return;
    m_unconfirmed.erase(dispatchNumber);
    ++m_completions;
    if (m_completions < m_options.completionsPerStep || m_slowFirstTokens > 0)
        return;
    m_completions = 0;
    m_limit = std::min(m_limit + 1, m_options.fullLimit);
}

void cold_start_limiter::recordAbandonment(std::uint64_t dispatchNumber)
{
    m_unconfirmed.erase(dispatchNumber);
}

bool cold_start_limiter::hasProcessChanged(const server_sample& sample) const
{
    constexpr double roundingSeconds = 0.5;
    if (!sample.processStart || !m_sample.processStart)
        return false;
    return std::abs(*sample.processStart - *m_sample.processStart) > roundingSeconds;
}

void cold_start_limiter::observe(const server_sample& sample)
{
    if (hasProcessChanged(sample))
        resetToCold(cold_reason::ProcessChanged);
    else if (sample.completed && m_sample.completed && *sample.completed < *m_sample.completed)
        resetToCold(cold_reason::CounterDecreased);
    m_sample.processStart = sample.processStart ? sample.processStart : m_sample.processStart;
    m_sample.completed = sample.completed ? sample.completed : m_sample.completed;
}

void cold_start_limiter::resetToCold(cold_reason reason)
{
    m_limit = std::min(m_options.coldLimit, m_options.fullLimit);
    m_completions = 0;
    m_slowFirstTokens = 0;
    m_unconfirmed.clear();
    m_firstDispatchOfEpoch = m_lastDispatch + 1;
    m_reason = reason;
    ++m_epoch;
}

} // namespace radishflow
