// Declares member_entry, all that a daemon keeps about one member.
#pragma once

#include "radishflow/Membership/gossip_message.h"
#include "radishflow/Membership/member_record.h"
#include "radishflow/Support/monotonic_clock.h"

#include <cstdint>
#include <map>
#include <string>

namespace radishflow {

struct member_entry {
    member_update update;
    std::map<std::string, member_record> records; ///< Of the incarnation in `update`.
    time_point changedAt {}; ///< When the state changed last.
    time_point answeredAt {}; ///< When it last answered a ping, directly or through another member.
    time_point suspectedAt {};
    bool isOwnSuspicion = false; ///< This daemon's own probes failed.
    time_point noticedAt {}; ///< When it was last told what is said of it.
    time_point reprobedAt {};
    time_point newsHeldUntil {};
    double flaps = 0; ///< Changes of state, decayed up to flapsAt.
    time_point flapsAt {};
    std::uint32_t keyHash = 0;
    std::uint64_t versionHash = 0; ///< Share in the hash of its bucket; 0 when the member is dead or left.
};

} // namespace radishflow
