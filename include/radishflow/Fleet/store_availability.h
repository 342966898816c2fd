// Declares store_availability, which derives from the responses to all daemons when the platform's store was unavailable to the fleet.
#pragma once

#include "radishflow/Support/monotonic_clock.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <vector>

namespace radishflow {

struct store_availability_options {
    std::chrono::milliseconds maxSilence { 2500 }; ///< Longest time between two responses to the fleet while the store is available.
    std::chrono::milliseconds minOutage { 1200 }; ///< Interval at which servers renew their entries; a shorter outage makes them miss one renewal at most.
    std::chrono::milliseconds pathRecoveryTime { 1000 }; ///< Time in which this daemon's own calls succeed again after an outage of the fleet.
    std::chrono::milliseconds recoveryGrace { 2000 }; ///< Time in which servers renew their entries after an outage; set by the platform.
};

/// Keeps the readings of the store's clock in recent responses to this daemon and to others. A time without a reading is an outage
/// for the fleet; this daemon's own failed calls alone are none, since the others may still reach the store. Not thread-safe.
class store_availability {
public:
    explicit store_availability(const store_availability_options& options = {})
        : m_options(options)
    {
    }

    /// Records a reading in a response to this or another daemon and the local time of the reading. A new era of the store
    /// counts as the end of an outage; readings of an earlier era are ignored.
    void recordReading(std::chrono::milliseconds reading, time_point at, std::uint64_t era);

    /// Record that this daemon's own calls begin to fail, or succeed again.
    void recordPathLost(time_point at);
    void recordPathRegained() { m_isPathLost = false; }

    /// Returns the time until which entries may be missing because their servers could not renew them; time_point::max() during
    /// an outage. The deferral after an outage begins at its end, also if this daemon learns of the outage later.
    time_point lapsesPossibleUntil(time_point now) const;

    /// Returns the readings from which other daemons see the recent outages, the newest one first.
    std::vector<std::chrono::milliseconds> recentReadings() const;
    std::uint64_t era() const { return m_era.value_or(0); }

private:
    time_point toLocalTime(std::chrono::milliseconds reading) const { return m_newestAt - (*m_readings.rbegin() - reading); }
    /// Returns until when entries may be missing because of the time between two successive readings; a time in the past if that
    /// was no outage.
    time_point deferralEnd(time_point begin, time_point end) const;
    /// Returns whether this daemon's own calls began to fail within a time without readings of at least minOutage.
    bool isPathLostWithin(time_point begin, time_point end) const;
    void dropExpired();

    store_availability_options m_options;
    std::set<std::chrono::milliseconds> m_readings; ///< Of one era.
    time_point m_newestAt {}; ///< Local time of the newest reading.
    std::optional<std::uint64_t> m_era;
    bool m_isPathLost = false;
    std::optional<time_point> m_pathLostAt; ///< Last time at which the own calls began to fail.
    bool m_hasEraChanged = false; ///< The era began after this process.
};

} // namespace radishflow
