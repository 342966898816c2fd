// Implements the division of a scarce request rate among priorities.
#include "radishflow/Routing/priority_gate.h"

#include <algorithm>
#include <chrono>
#include <numbers>

namespace radishflow {

void priority_gate::countArrival(int priority, time_point now)
{
    m_demands[priority].arrivals.add(now, 1, m_options.halfLife);
}

// A count that decays with the half-life holds the arrivals of half-life / ln 2.
double priority_gate::arrivalRate(const demand& of, time_point now) const
{
    return of.arrivals.at(now, m_options.halfLife) * std::numbers::ln2 / std::chrono::duration<double>(m_options.halfLife).count();
}

double priority_gate::remainingRate(int priority, double ratePerSecond, time_point now) const
{
    double remaining = ratePerSecond;
    for (auto found = m_demands.begin(); found != m_demands.end() && found->first < priority; ++found)
        remaining -= arrivalRate(found->second, now);
    return std::max(remaining, 0.0);
}

bool priority_gate::admits(int priority, double ratePerSecond, time_point now) const
{
    const auto found = m_demands.find(priority);
    if (found == m_demands.end() || found == m_demands.begin())
        return true;
    const double remaining = remainingRate(priority, ratePerSecond, now);
    return arrivalRate(found->second, now) <= remaining || found->second.bucket.hasToken(now, remaining);
}

void priority_gate::consume(int priority, double ratePerSecond, time_point now)
{
    m_demands[priority].bucket.consumeToken(now, remainingRate(priority, ratePerSecond, now));
}

duration priority_gate::retryAfter(int priority, double ratePerSecond, time_point now) const
{
    const double remaining = remainingRate(priority, ratePerSecond, now);
    if (remaining * std::chrono::duration<double>(m_options.maxRetryAfter).count() <= 1)
        return m_options.maxRetryAfter;
    return std::chrono::ceil<duration>(std::chrono::duration<double> { 1 / remaining });
}

} // namespace radishflow
