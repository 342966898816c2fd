// Declares handover_schedule, which decides when to hand a server over to a daemon that ranks higher.
#pragma once

#include "radishflow/Support/ids.h"
#include "radishflow/Support/monotonic_clock.h"
#include "radishflow/Terms/term_options.h"

#include <unordered_map>

namespace radishflow {

/// Delays handovers and bounds how many are in progress. Not thread-safe.
class handover_schedule {
public:
    /// Returns whether to hand over now: another daemon has ranked higher for rebalanceDelay, and fewer than
    /// maxHandovers other handovers are in progress.
    bool isDue(const server_id&, bool isOutranked, bool isClosed, time_point now, const term_options&);

    void recordClosed(const server_id& server, time_point now) { m_entries[server].closedSince = now; }
    void erase(const server_id& server) { m_entries.erase(server); }
    time_point closedSince(const server_id& server) { return m_entries[server].closedSince; }

private:
    struct entry {
        time_point outrankedSince;
        time_point closedSince;
        bool isOngoing = false;
    };

    int ongoingCount() const;

    std::unordered_map<server_id, entry> m_entries;
};

} // namespace radishflow
