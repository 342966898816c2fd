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
    duration maxLag = std::chrono::milliseconds { 500 }; ///< How long this daemon's copy may lag behind the fleet; longer than the pause after a call to the store that returned changes.
};

struct table_update_decision {
    std::optional<table_update> publish; ///< Update to publish to the other daemons.
    bool isConfirmed = false; ///< This daemon's copy is complete as of the fleet's update.
    bool needsCatchUp = false; ///< The copy has lagged behind the fleet for maxLag, so the pending call has missed a change.
};

/// Decides when to publish an update of one table and when to read the table again.
///
/// Each daemon follows the table by long polls, which keep the load on the store low. The fleet's update reveals a
/// poll that has stopped delivering changes long before that poll times out. Not thread-safe.
class table_update_monitor {
public:
    explicit table_update_monitor(const table_update_monitor_options& options)
        : m_options(options)
    {
    }

    /// Compares this daemon's progress with the newest update published in the fleet.
    table_update_decision evaluate(const table_progress& own, const table_update& fleet, time_point now)
    {
        table_update_decision decision;
        const bool isBehind = own.syncedRevision < fleet.lastChangeRevision;
        if (!isBehind)
            m_behindSince.reset();
        else if (!m_behindSince)
            m_behindSince = now;
        decision.needsCatchUp = isBehind && now - *m_behindSince >= m_options.maxLag;
        decision.isConfirmed = !isBehind && fleet.storeTime.count() > 0;
        const bool hasChange = own.update.lastChangeRevision > fleet.lastChangeRevision;
        const bool hasConfirmation = m_options.publishesConfirmations && own.update.storeTime >= fleet.storeTime + m_options.confirmationInterval;
        // The fleet's register keeps the version with the latest store time, so an update with an earlier time would
        // be discarded: the published time and revision are never below the fleet's.
        if (!isBehind && (hasChange || hasConfirmation))
            decision.publish = table_update { .storeTime = std::max(own.update.storeTime, fleet.storeTime), .lastChangeRevision = std::max(own.update.lastChangeRevision, fleet.lastChangeRevision) };
        return decision;
    }

private:
    table_update_monitor_options m_options;
    std::optional<time_point> m_behindSince;
};

} // namespace radishflow
