// Declares member, one daemon in the view of another.
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
    std::string http; ///< Callers' address, "IP:port".
    zone_id zone;
    region_id region;
    std::map<std::string, member_record> records;
    bool isRegionReachable = true; ///< False while this daemon hears nothing from the member's region.
    bool isLeavingHint = false; ///< The platform's lagging list calls its host leaving.
    bool isFlapping = false; ///< Its state changes often; news of it are held back.
};

} // namespace radishflow
