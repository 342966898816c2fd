// Implements fair_share. An entry whose finish time lies in the past has the same effect as no entry, so such entries are
// evicted whenever the map has doubled in size, which is amortized constant work per request.
#include "radishflow/Admission/fair_share.h"

#include <algorithm>
#include <cassert>

namespace radishflow {

double fair_share::startTimeOf(const workspace_id& workspace) const
{
    const auto finish = m_finishTimes.find(workspace);
    return finish == m_finishTimes.end() ? m_virtualTime : std::max(finish->second, m_virtualTime);
}

void fair_share::recordServed(const workspace_id& workspace, double weight)
{
    assert(weight > 0 && "a workspace without weight would never be served");
    const double startTime = startTimeOf(workspace);
    m_virtualTime = std::max(m_virtualTime, startTime);
    m_finishTimes[workspace] = startTime + 1 / weight;
    if (m_finishTimes.size() >= m_evictionSize)
        evictPast();
}

// Discards all entries. No waiting workspace is at a disadvantage: all start from the same virtual time afterwards.
void fair_share::reset()
{
    for (const auto& [workspace, finish] : m_finishTimes)
        m_virtualTime = std::max(m_virtualTime, finish);
    m_finishTimes.clear();
}

void fair_share::evictPast()
{
    constexpr std::size_t minEvictionSize = 64;
    std::erase_if(m_finishTimes, [this](const auto& entry) { return entry.second <= m_virtualTime; });
    if (m_finishTimes.size() > maxWorkspaces / 2)
        reset();
    m_evictionSize = std::clamp(m_finishTimes.size() * 2, minEvictionSize, maxWorkspaces);
}

} // namespace radishflow
