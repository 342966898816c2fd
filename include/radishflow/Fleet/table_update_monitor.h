// Declares table_update_monitor, which compares what this daemon knows of a table with what the fleet knows.
#pragma once

#include "radishflow/Fleet/table_update.h"
#include "radishflow/Support/monotonic_clock.h"

#include <algorithm>
#include <chrono>
#include <optional>

namespace radishflow {

struct table_update_monitor_options {
    bool publishesConfirmations = false; ///< Whether others need to know that nothing has changed.
    std::chrono::milliseconds confirmationStep { 700 }; ///< Least time between two confirmations.
    duration maxLag = std::chrono::milliseconds { 500 }; ///< How long this daemon's own call may lag behind the fleet; longer than the pause after news.
};

struct table_update_decision {
    std::optional<table_update> publish; ///< What the others should hear.
    bool isConfirmed = false; ///< What is known here is complete as of the fleet's news.
    bool needsCatchUp = false; ///< This daemon's own call has missed something.
};

/// Answers the load that following the store puts on it: calls are held for long, and the fleet's news tell within
/// moments where one has gone silent. Not thread-safe.
class table_update_monitor {
public:
    explicit table_update_monitor(const table_update_monitor_options& options)
        : m_options(options)
    {
    }

    table_update_decision step(const table_progress& own, const table_update& fleet, time_point now)
    {
        table_update_decision step;
        const bool isBehind = own.syncedRevision < fleet.lastChangeRevision;
        if (!isBehind)
            m_behindSince.reset();
        else if (!m_behindSince)
            m_behindSince = now;
        step.needsCatchUp = isBehind && now - *m_behindSince >= m_options.maxLag;
        step.isConfirmed = !isBehind && fleet.storeTime.count() > 0;
        const bool hasChange = own.news.lastChangeRevision > fleet.lastChangeRevision;
        const bool hasConfirmation = m_options.publishesConfirmations && own.news.storeTime >= fleet.storeTime + m_options.confirmationStep;
        // An older reading would lose against the fleet's register.
        if (!isBehind && (hasChange || hasConfirmation))
            step.publish = table_update { .storeTime = std::max(own.news.storeTime, fleet.storeTime), .lastChangeRevision = std::max(own.news.lastChangeRevision, fleet.lastChangeRevision) };
        return step;
    }

private:
    table_update_monitor_options m_options;
    std::optional<time_point> m_behindSince;
};

} // namespace radishflow
