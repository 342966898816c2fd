// Implements workspace_limiter, whose counts exist only while a workspace has running requests.
#include "radishflow/Admission/workspace_limiter.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <limits>

namespace radishflow {

void workspace_limiter::configure(std::unordered_map<workspace_id, workspace_options> settings, workspace_options defaults)
{
    m_settings = std::move(settings);
    m_default = defaults;
}

void workspace_limiter::setShare(int ownServers, int allServers)
{
    assert(ownServers >= 0 && "a count of servers is not negative");
    m_share = allServers > 0 ? std::min(static_cast<double>(ownServers) / allServers, 1.0) : 1;
}

const workspace_options& workspace_limiter::optionsOf(const workspace_id& workspace) const
{
    const auto found = m_settings.find(workspace);
    return found == m_settings.end() ? m_default : found->second;
}

int workspace_limiter::localLimit(const workspace_options& options) const
{
    if (options.maxRunning <= 0)
        return std::numeric_limits<int>::max();
    return static_cast<int>(std::ceil(options.maxRunning * m_share));
}

int workspace_limiter::running(const workspace_id& workspace) const
{
    const auto found = m_running.find(workspace);
    return found == m_running.end() ? 0 : found->second;
}

bool workspace_limiter::isAtLimit(const workspace_id& workspace) const
{
    return running(workspace) >= localLimit(optionsOf(workspace));
}

bool workspace_limiter::tryStart(const workspace_id& workspace)
{
    if (isAtLimit(workspace))
        return false;
    ++m_running[workspace];
    return true;
}

void workspace_limiter::finished(const workspace_id& workspace)
{
    const auto found = m_running.find(workspace);
    assert(found != m_running.end() && "finished() needs a preceding tryStart()");
    if (--found->second == 0)
        m_running.erase(found);
}

} // namespace radishflow
