// Implements fair_share. Entries whose finish lies in the past say no more than no entry does, so they are dropped
// whenever the map has doubled; that is constant work a request on average.
#include "radishflow/Admission/fair_share.h"

#include <algorithm>
#include <cassert>

namespace radishflow {

double fair_share::startOf(const workspace_id& workspace) const
{
    const auto finish = m_finish.find(workspace);
    return finish == m_finish.end() ? m_virtualTime : std::max(finish->second, m_virtualTime);
}

void fair_share::serve(const workspace_id& workspace, double weight)
{
    assert(weight > 0 && "a workspace without weight would never be served");
    const double start = startOf(workspace);
    m_virtualTime = std::max(m_virtualTime, start);
    m_finish[workspace] = start + 1 / weight;
    if (m_finish.size() >= m_dropAt)
        dropPast();
}

// Nobody who waits loses by it: all of them start from the same virtual time.
void fair_share::startAnew()
{
    for (const auto& [workspace, finish] : m_finish)
        m_virtualTime = std::max(m_virtualTime, finish);
    m_finish.clear();
}

void fair_share::dropPast()
{
    constexpr std::size_t leastSize = 64;
    std::erase_if(m_finish, [this](const auto& entry) { return entry.second <= m_virtualTime; });
    if (m_finish.size() > mostWorkspaces / 2)
        startAnew();
    m_dropAt = std::clamp(m_finish.size() * 2, leastSize, mostWorkspaces);
}

} // namespace radishflow
