// Declares gossip_transport_options.
#pragma once

#include "radishflow/Membership/membership_options.h"

#include <string>
#include <vector>

namespace radishflow {

struct gossip_transport_options {
    membership_options membership; ///< Its address is bound; with port 0 the system chooses one.
    std::vector<std::string> keys; ///< First signs, all are accepted; empty leaves datagrams unsigned.
    duration tickInterval = std::chrono::milliseconds { 50 };
    std::uint64_t randomSeed = 0;
};

} // namespace radishflow
