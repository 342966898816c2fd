// Declares table_update_monitor, which compares this daemon's copy of a table with the update published in the fleet.
#pragma once

#include "radishflow/Fleet/table_update.h"
#include "radishflow/Support/monotonic_clock.h"

#include <algorithm>
#include <chrono>
#include <optional>

namespace radishflow {

struct table_update_monitor_options {
    bool publishesConfirmations = false; ///< Whether to publish also that the table has not changed.
    std::chrono::milliseconds confirmationInterval { 700 }; ///< Minimum time between two confirmations, by the store's clock.
    double fetchTimeFactor = 1.5; ///< Factor on maxLag if other daemons have to pass the changes on first.
    double followerFetchFactor = 0.6; ///< Factor on maxLag after which a follower reads the changes from another daemon; longer than the pause after a poll with changes.
    duration maxLag = std::chrono::milliseconds { 500 }; ///< How long this daemon's copy may lag behind the fleet; longer than the pause after a call to the store that returned changes.
};

struct table_update_decision {
    std::optional<table_update> publish; ///< Update to publish to the other daemons.
    bool isConfirmed = false; ///< This daemon's copy is complete as of the fleet's update.
    bool isBehind = false; ///< The fleet knows of changes that this daemon's copy lacks.
    bool needsFetch = false; ///< The copy lags behind the fleet and this daemon's own polls do not bring the changes, so another daemon has to pass them on.
    bool needsCatchUp = false; ///< The copy has lagged behind the fleet for longer than allowed, so neither a pending call nor another daemon has delivered a change.
};

/// Decides when to publish an update of one table and when to read the table again.
///
/// The followers of a fleet follow the table by long polls and publish each change; the other daemons fetch it from them. The
/// fleet's update also reveals a poll that has stopped delivering changes long before that poll times out. Not thread-safe.
class table_update_monitor {
public:
    explicit table_update_monitor(const table_update_monitor_options& options)
        : m_options(options)
    {
    }

    /// Compares this daemon's progress with the newest update published in the fleet. `isFollowing` states whether this
    /// daemon follows the table by long polls that work.
    table_update_decision evaluate(const table_progress& own, const table_update& fleet, time_point now, bool isFollowing = true)
    {
        table_update_decision decision;
        decision.isBehind = fleet.isNewerThan(own.update.era, own.syncedRevision);
        const bool isBehind = decision.isBehind;
        const bool isNewEra = own.update.era > fleet.era;
        if (!isBehind)
            m_behindSince.reset();
        else if (!m_behindSince)
            m_behindSince = now;
        decision.needsFetch = isBehind && (!isFollowing || now - *m_behindSince >= m_options.maxLag * m_options.followerFetchFactor);
        const duration maxLag = isFollowing ? m_options.maxLag : std::chrono::duration_cast<duration>(m_options.maxLag * m_options.fetchTimeFactor);
        decision.needsCatchUp = isBehind && now - *m_behindSince >= maxLag;
        decision.isConfirmed = !isBehind && !isNewEra && fleet.storeTime.count() > 0;
        const bool hasChange = isNewEra || own.update.lastChangeRevision > fleet.lastChangeRevision;
        const bool hasConfirmation = m_options.publishesConfirmations && own.update.storeTime >= fleet.storeTime + m_options.confirmationInterval;
        // The fleet's register keeps the version with the latest store time, so an update with an earlier time would
        // be discarded: the published time and revision are never below the fleet's.
        if (!isBehind && isNewEra)
            decision.publish = own.update;
        else if (!isBehind && (hasChange || hasConfirmation))
            decision.publish = table_update { .storeTime = std::max(own.update.storeTime, fleet.storeTime), .lastChangeRevision = std::max(own.update.lastChangeRevision, fleet.lastChangeRevision), .era = own.update.era, .recentReadings = {} };
        return decision;
    }

private:
    table_update_monitor_options m_options;
    std::optional<time_point> m_behindSince;
};

} // namespace radishflow
