// Implements the figures of a run.
#include "measurements.h"

#include <algorithm>
#include <cstdio>
#include <numeric>

namespace radishflow {

static constexpr double answeredTarget = 0.99;

measurements::measurements(sim_time warmUp, sim_time length)
    : m_warmUp(warmUp)
    , m_length(length)
    , m_arrived(static_cast<std::size_t>(length.count()) + 1)
    , m_answered(m_arrived.size())
{
}

void measurements::countArrival(sim_time at)
{
    ++m_arrived[static_cast<std::size_t>(at.count())];
}

void measurements::countAnswer(sim_time arrival, sim_time untilFirstToken, std::uint32_t attempts)
{
    ++m_answered[static_cast<std::size_t>(arrival.count())];
    if (!counts(arrival))
        return;
    m_firstTokens.push_back(untilFirstToken.count());
    m_attempts.push_back(attempts);
}

void measurements::countFailure(sim_time arrival, std::uint32_t attempts)
{
    if (counts(arrival))
        m_attempts.push_back(attempts);
}

void measurements::countSkew(sim_time at, double maxOverMean)
{
    if (counts(at))
        m_skews.push_back(maxOverMean);
}

double measurements::shareOf(std::size_t second) const
{
    return m_arrived[second] == 0 ? 1 : static_cast<double>(m_answered[second]) / m_arrived[second];
}

// Seconds from the event until no second before the next event falls short again.
std::size_t measurements::secondsToRecover(const scenario& events) const
{
    const auto start = static_cast<std::size_t>(events.eventAt.count());
    const std::size_t end = static_cast<std::size_t>(std::min(m_length, events.eventEnd).count());
    for (std::size_t second = end; second > start; --second) {
        if (shareOf(second - 1) < answeredTarget)
            return second - start;
    }
    return 0;
}

template <typename Number>
static double percentile(std::vector<Number> values, double share)
{
    if (values.empty())
        return 0;
    const auto place = values.begin() + static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), place, values.end());
    return static_cast<double>(*place);
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

void measurements::closeRun(const scenario& events)
{
    for (auto second = static_cast<std::size_t>(m_warmUp.count()); second < static_cast<std::size_t>(m_length.count()); ++second) {
        m_worstShare = std::min(m_worstShare, shareOf(second));
        m_shortSeconds += shareOf(second) < answeredTarget ? 1 : 0;
    }
    m_longestRecovery = std::max(m_longestRecovery, secondsToRecover(events));
    std::fill(m_arrived.begin(), m_arrived.end(), 0);
    std::fill(m_answered.begin(), m_answered.end(), 0);
}

std::string measurements::row(const std::string& policy) const
{
    const double meanAttempts = ratio(std::accumulate(m_attempts.begin(), m_attempts.end(), std::uint64_t { 0 }), m_attempts.size());
    char text[256];
    std::snprintf(text, sizeof text, "%-20s %5.1f  %5.1f   %5.1f    %6.2f   %6.2f   %6.1f   %4zu   %6zu    %7.2f   %6.2f   %5.0f   %7llu %6llu   %8llu %6llu  %7llu",
        policy.c_str(), 100 * ratio(hits, returns), 100 * ratio(savedTokens, returnTokens), 100 * ratio(importedTokens, returnTokens), percentile(m_skews, 0.99),
        percentile(m_skews, 1), 100 * m_worstShare, m_shortSeconds, m_longestRecovery, percentile(m_firstTokens, 0.95),
        meanAttempts, percentile(m_attempts, 0.99), static_cast<unsigned long long>(overAtAdmission),
        static_cast<unsigned long long>(overSampled), static_cast<unsigned long long>(overSlots),
        static_cast<unsigned long long>(coldExceeded), static_cast<unsigned long long>(exports));
    return text;
}

} // namespace radishflow
