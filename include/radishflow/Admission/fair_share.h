// Declares fair_share, which orders workspaces by what they have been served.
#pragma once

#include "radishflow/Support/ids.h"

#include <cstddef>
#include <unordered_map>

namespace radishflow {

/// Start-time fair queueing over workspaces: each request costs 1 / weight of virtual time, and the workspace
/// that would start first is served first. A workspace that always has work waiting gets its weight's part.
///
/// Keeps state only of workspaces that are ahead of the virtual time, and of at most mostWorkspaces: beyond that
/// the past is forgotten. Not thread-safe.
class fair_share {
public:
    static constexpr std::size_t mostWorkspaces = 4096;

    /// Returns the virtual time at which the workspace's next request would start.
    double startOf(const workspace_id&) const;

    /// Takes a request of this weight as served.
    void serve(const workspace_id&, double weight);

    std::size_t size() const { return m_finish.size(); }

private:
    void dropPast();
    void startAnew();

    double m_virtualTime = 0;
    std::size_t m_dropAt = 64; ///< Size at which the next clearing is due.
    std::unordered_map<workspace_id, double> m_finish;
};

} // namespace radishflow
