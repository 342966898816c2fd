// Declares seed_peer, one daemon's entry in the platform's host list, which lags behind the fleet.
#pragma once

#include "radishflow/Membership/peer_address.h"

namespace radishflow {

struct seed_peer {
    peer_address address;
    bool isLeaving = false;
};

} // namespace radishflow
