// Declares fair_share, which orders workspaces by the service that they have received.
#pragma once

#include "radishflow/Support/ids.h"

#include <cstddef>
#include <unordered_map>

namespace radishflow {

/// Start-time fair queueing over workspaces: each request costs 1 / weight of virtual time, and the workspace with the
/// earliest start time is served first. A workspace that always has requests waiting receives service in proportion to
/// its weight.
///
/// Keeps state only of workspaces whose finish time is ahead of the virtual time, and of at most maxWorkspaces: beyond
/// that all state is discarded. Not thread-safe.
class fair_share {
public:
    static constexpr std::size_t maxWorkspaces = 4096;

    /// Returns the virtual time at which the workspace's next request would start.
    double startTimeOf(const workspace_id&) const;

    /// Records that a request of this weight was served.
    void recordServed(const workspace_id&, double weight);

    std::size_t size() const { return m_finishTimes.size(); }

private:
    void evictPast();
    void reset();

    double m_virtualTime = 0;
    std::size_t m_evictionSize = 64; ///< Size of the map at which evictPast() is called next.
    std::unordered_map<workspace_id, double> m_finishTimes; ///< In virtual time.
};

} // namespace radishflow
