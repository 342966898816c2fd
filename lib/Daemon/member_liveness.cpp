// Implements the liveness check of claim holders.
#include "radishflow/Daemon/member_liveness.h"

#include <string>

namespace radishflow {

// A suspected member counts as alive, so that its caller retries instead of receiving "unknown".
bool member_liveness::operator()(const daemon_id& daemon, incarnation_number process) const
{
    const std::optional<member> seen = m_gossip->memberOf(daemon);
    if (!seen || seen->state == member_state::Dead || seen->state == member_state::Left)
        return false;
    const auto record = seen->records.find(processRecord);
    return record == seen->records.end() || record->second.bytes == std::to_string(process.value());
}

} // namespace radishflow
