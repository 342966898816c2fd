// Implements the schedule of handovers.
#include "radishflow/Terms/handover_schedule.h"

#include <algorithm>

namespace radishflow {

int handover_schedule::ongoingCount() const
{
    return static_cast<int>(std::count_if(m_entries.begin(), m_entries.end(),
        [](const auto& pair) { return pair.second.isOngoing; }));
}

bool handover_schedule::isDue(const server_id& server, bool isOutranked, bool isClosed, time_point now, const term_options& options)
{
    if (!isOutranked) {
        m_entries.erase(server);
        return false;
    }
    const auto [found, isNew] = m_entries.try_emplace(server, entry { .outrankedSince = now });
    if (isNew || now < found->second.outrankedSince + options.rebalanceDelay)
        return false;
    if (!isClosed && !found->second.isOngoing && ongoingCount() >= options.maxHandovers)
        return false;
    found->second.isOngoing = true;
    return true;
}

} // namespace radishflow
