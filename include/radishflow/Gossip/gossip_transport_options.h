// Declares gossip_transport_options, the settings of gossip_transport.
#pragma once

#include "radishflow/Membership/membership_options.h"

#include <string>
#include <vector>

namespace radishflow {

struct gossip_transport_options {
    membership_options membership; ///< Its address is bound; for port 0 the system chooses a port.
    std::vector<std::string> keys; ///< The first key signs, all are accepted; if empty, datagrams are not authenticated.
    duration tickInterval = std::chrono::milliseconds { 50 };
    std::uint64_t randomSeed = 0;
};

} // namespace radishflow
