// Implements the metrics of benchmark runs.
#include "measurements.h"

#include <algorithm>
#include <cstdio>
#include <numeric>

namespace radishflow {

static constexpr double completionTarget = 0.99;

measurements::measurements(sim_time warmUp, sim_time length)
    : m_warmUp(warmUp)
    , m_length(length)
    , m_arrived(static_cast<std::size_t>(length.count()) + 1)
    , m_completed(m_arrived.size())
{
}

void measurements::recordArrival(sim_time at)
{
    ++m_arrived[static_cast<std::size_t>(at.count())];
}

void measurements::recordResponse(sim_time arrival, sim_time timeToFirstToken, std::uint32_t attempts)
{
    ++m_completed[static_cast<std::size_t>(arrival.count())];
    if (!isMeasured(arrival))
        return;
    m_firstTokens.push_back(timeToFirstToken.count());
    m_attempts.push_back(attempts);
}

void measurements::recordFailure(sim_time arrival, std::uint32_t attempts)
{
    if (isMeasured(arrival))
        m_attempts.push_back(attempts);
}

void measurements::recordSkew(sim_time at, double maxOverMean)
{
    if (isMeasured(at))
        m_skews.push_back(maxOverMean);
}

double measurements::completionRate(std::size_t second) const
{
    return m_arrived[second] == 0 ? 1 : static_cast<double>(m_completed[second]) / m_arrived[second];
}

// Returns the seconds from the start of the event to the end of the last second, before the event ends, that was below the
// completion target.
std::size_t measurements::secondsToRecover(const scenario& events) const
{
    const auto start = static_cast<std::size_t>(events.eventStart.count());
    const std::size_t end = static_cast<std::size_t>(std::min(m_length, events.eventEnd).count());
    for (std::size_t second = end; second > start; --second) {
        if (completionRate(second - 1) < completionTarget)
            return second - start;
    }
    return 0;
}

template <typename Number>
static double percentile(std::vector<Number> values, double share)
{
    if (values.empty())
        return 0;
    const auto position = values.begin() + static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), position, values.end());
    return static_cast<double>(*position);
}

static double ratio(std::uint64_t part, std::uint64_t whole)
{
    return whole == 0 ? 0 : static_cast<double>(part) / static_cast<double>(whole);
}

std::string measurements::header()
{
    return "policy               hit%  saved%  import%  skew-p99 skew-max  worst-s%  s<99%  recover-s  ttft-p95  att-mean att-p99"
           "  over-adm over-s  over-slots cold-x  exports";
}

void measurements::finishRun(const scenario& events)
{
    for (auto second = static_cast<std::size_t>(m_warmUp.count()); second < static_cast<std::size_t>(m_length.count()); ++second) {
        m_minCompletionRate = std::min(m_minCompletionRate, completionRate(second));
        m_secondsBelowTarget += completionRate(second) < completionTarget ? 1 : 0;
    }
    m_maxRecoverySeconds = std::max(m_maxRecoverySeconds, secondsToRecover(events));
    std::fill(m_arrived.begin(), m_arrived.end(), 0);
    std::fill(m_completed.begin(), m_completed.end(), 0);
}

std::string measurements::row(const std::string& policy) const
{
    const double meanAttempts = ratio(std::accumulate(m_attempts.begin(), m_attempts.end(), std::uint64_t { 0 }), m_attempts.size());
    char text[256];
    std::snprintf(text, sizeof text, "%-20s %5.1f  %5.1f   %5.1f    %6.2f   %6.2f   %6.1f   %4zu   %6zu    %7.2f   %6.2f   %5.0f   %7llu %6llu   %8llu %6llu  %7llu",
        policy.c_str(), 100 * ratio(hits, returns), 100 * ratio(savedTokens, returnTokens), 100 * ratio(importedTokens, returnTokens), percentile(m_skews, 0.99),
        percentile(m_skews, 1), 100 * m_minCompletionRate, m_secondsBelowTarget, m_maxRecoverySeconds, percentile(m_firstTokens, 0.95),
        meanAttempts, percentile(m_attempts, 0.99), static_cast<unsigned long long>(admissionsAboveBound),
        static_cast<unsigned long long>(serverSecondsAboveBound), static_cast<unsigned long long>(queuedAdmissions),
        static_cast<unsigned long long>(coldOverloads), static_cast<unsigned long long>(exports));
    return text;
}

} // namespace radishflow
