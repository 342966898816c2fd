// Declares workspace_limiter, which holds each workspace to its number of running requests.
#pragma once

#include "radishflow/Admission/workspace_options.h"
#include "radishflow/Support/ids.h"

#include <cstddef>
#include <unordered_map>

namespace radishflow {

/// Counts the requests of workspaces at one owner's servers of one service. Not thread-safe.
///
/// A workspace's limit is for the fleet; this owner takes the part that its servers are of the service's, rounded
/// up, so the sum over owners exceeds a limit by less than one request an owner.
class workspace_limiter {
public:
    /// Replaces the settings of all workspaces; those that are not named get the default.
    void configure(std::unordered_map<workspace_id, workspace_options> settings, workspace_options byDefault);

    /// Sets how many of the service's servers this owner has.
    void setShare(int ownServers, int allServers);

    const workspace_options& optionsOf(const workspace_id&) const;

    /// Counts one more request unless the workspace is at its limit.
    bool tryStart(const workspace_id&);
    bool isAtLimit(const workspace_id&) const;
    void finished(const workspace_id&);

    int running(const workspace_id&) const;

    /// Workspaces with running requests; only those take memory.
    std::size_t size() const { return m_running.size(); }

private:
    int limitHere(const workspace_options&) const;

    std::unordered_map<workspace_id, workspace_options> m_settings;
    workspace_options m_default;
    double m_share = 1;
    std::unordered_map<workspace_id, int> m_running;
};

} // namespace radishflow
