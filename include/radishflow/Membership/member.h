// Declares member, the state of one daemon in the view of another.
#pragma once

#include "radishflow/Membership/member_record.h"
#include "radishflow/Membership/member_state.h"
#include "radishflow/Membership/peer_address.h"
#include "radishflow/Support/ids.h"

#include <map>
#include <string>

namespace radishflow {

struct member {
    daemon_id id;
    incarnation_number incarnation;
    member_state state = member_state::Alive;
    peer_address peer;
    std::string http; ///< Address for callers, "IP:port".
    zone_id zone;
    region_id region;
    std::map<std::string, member_record> records;
    bool isRegionReachable = true; ///< False while no datagrams arrive from the member's region.
    bool isLeavingHint = false; ///< The platform's host list, which may be outdated, marks its host as leaving.
    bool isResponsive = true; ///< False once probes have been unanswered, and the member silent, for unresponsiveTime.
    bool isFlapping = false; ///< Its state changes often, so updates about it are deferred.
};

} // namespace radishflow
