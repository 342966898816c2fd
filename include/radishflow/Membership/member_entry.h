// Declares member_entry, the state that a daemon keeps for each member.
#pragma once

#include "radishflow/Membership/gossip_message.h"
#include "radishflow/Membership/member_record.h"
#include "radishflow/Support/monotonic_clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace radishflow {

struct member_entry {
    member_update update;
    std::map<std::string, member_record> records; ///< Records of the incarnation in `update`.
    time_point changedAt {}; ///< Time of the last change of state.
    time_point answeredAt {}; ///< Time of its last Ack, received directly or through another member.
    time_point heardAt {}; ///< Time of the last datagram that it sent to this daemon.
    std::optional<time_point> unansweredSince; ///< Start of the first failed probe, of any daemon, since it last answered or refuted a suspicion.
    bool hasFailedProbe = false; ///< Whether such a probe was one of this daemon.
    time_point suspectedAt {};
    bool isOwnSuspicion = false; ///< Raised by failed probes of this daemon.
    bool isPartitionLikely = false; ///< Most members of the region were suspects at the same time as this one.
    time_point notifiedAt {}; ///< Time at which it was last sent a Notice.
    time_point reprobedAt {};
    time_point updatesDeferredUntil {};
    double flaps = 0; ///< Number of changes of state, with exponential decay up to flapsAt.
    time_point flapsAt {};
    std::uint32_t keyHash = 0;
    std::uint64_t versionHash = 0; ///< Contribution to the hash of its bucket; 0 if the member is dead or left.
};

} // namespace radishflow
