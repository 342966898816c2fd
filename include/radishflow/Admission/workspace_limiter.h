// Declares workspace_limiter, which limits the concurrent requests of each workspace.
#pragma once

#include "radishflow/Admission/workspace_options.h"
#include "radishflow/Support/ids.h"

#include <cstddef>
#include <unordered_map>

namespace radishflow {

/// Counts the requests of workspaces at one owner's servers of one service. Not thread-safe.
///
/// A workspace's limit applies to the whole fleet. This owner's part of it is proportional to its part of the service's
/// servers, rounded up, so the sum over all owners exceeds a limit by less than one request per owner.
class workspace_limiter {
public:
    /// Replaces the settings of all workspaces; workspaces without settings get the default.
    void configure(std::unordered_map<workspace_id, workspace_options> settings, workspace_options defaults);

    /// Sets how many of the service's servers belong to this owner.
    void setShare(int ownServers, int allServers);

    const workspace_options& optionsOf(const workspace_id&) const;

    /// Counts another running request and returns true, or returns false if the workspace is at its limit.
    bool tryStart(const workspace_id&);
    bool isAtLimit(const workspace_id&) const;
    /// Ends the count of a request that tryStart() admitted.
    void finished(const workspace_id&);

    int running(const workspace_id&) const;

    /// Returns the number of workspaces with running requests; only these use memory.
    std::size_t size() const { return m_running.size(); }

private:
    int localLimit(const workspace_options&) const;

    std::unordered_map<workspace_id, workspace_options> m_settings;
    workspace_options m_default;
    double m_share = 1;
    std::unordered_map<workspace_id, int> m_running;
};

} // namespace radishflow
