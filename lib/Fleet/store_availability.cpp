// Implements the derivation of outages of the platform's store from the responses to all daemons.
#include "radishflow/Fleet/store_availability.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace radishflow {

// Readings that are closer together reveal no further outage. Bounds the size of the register.
static constexpr std::chrono::milliseconds minPublishedSpacing { 500 };
static constexpr std::size_t maxPublishedReadings = 10;

void store_availability::recordReading(std::chrono::milliseconds reading, time_point at, std::uint64_t era)
{
    if (m_era && era < *m_era)
        return;
    if (m_era && era > *m_era) {
        m_readings.clear();
        m_hasEraChanged = true;
    }
    m_era = era;
    if (m_readings.empty() || reading > *m_readings.rbegin())
        m_newestAt = at;
    m_readings.insert(reading);
    dropExpired();
}

// Keeps the last reading before the retention, as it is where the first gap begins.
void store_availability::dropExpired()
{
    const auto retention = m_options.maxSilence + m_options.recoveryGrace;
    const auto firstRecent = m_readings.lower_bound(*m_readings.rbegin() - retention);
    if (firstRecent != m_readings.begin())
        m_readings.erase(m_readings.begin(), std::prev(firstRecent));
}

void store_availability::recordPathLost(time_point at)
{
    if (!std::exchange(m_isPathLost, true))
        m_pathLostAt = at;
}

// Only a path that was lost while no daemon received a reading indicates that the others lost theirs as well.
bool store_availability::isPathLostWithin(time_point begin, time_point end) const
{
    return end - begin >= m_options.minOutage && m_pathLostAt && *m_pathLostAt > begin && *m_pathLostAt <= end;
}

// Two polls of the fleet may be as far apart as a short outage lasts. It was an outage if this daemon's path was lost in between
// and returned together with the readings. While the path may still return, removals wait.
time_point store_availability::deferralEnd(time_point begin, time_point end) const
{
    if (end - begin >= m_options.maxSilence)
        return end + m_options.recoveryGrace;
    if (isPathLostWithin(begin, end))
        return end + (m_isPathLost ? m_options.pathRecoveryTime : m_options.recoveryGrace);
    return {};
}

time_point store_availability::lapsesPossibleUntil(time_point now) const
{
    if (m_readings.empty())
        return {};
    if (now - m_newestAt >= m_options.maxSilence || isPathLostWithin(m_newestAt, now))
        return time_point::max();
    // The first reading of an era is the end of an outage. It may be one of another daemon, which arrives later.
    time_point end = m_hasEraChanged ? toLocalTime(*m_readings.begin()) + m_options.recoveryGrace : time_point {};
    for (auto reading = std::next(m_readings.begin()); reading != m_readings.end(); ++reading)
        end = std::max(end, deferralEnd(toLocalTime(*std::prev(reading)), toLocalTime(*reading)));
    return end;
}

std::vector<std::chrono::milliseconds> store_availability::recentReadings() const
{
    std::vector<std::chrono::milliseconds> recent;
    for (auto reading = m_readings.rbegin(); reading != m_readings.rend() && recent.size() < maxPublishedReadings; ++reading) {
        if (recent.empty() || recent.back() - *reading >= minPublishedSpacing)
            recent.push_back(*reading);
    }
    return recent;
}

} // namespace radishflow
