// Declares seed_peer, what the platform's lagging host list says of one daemon.
#pragma once

#include "radishflow/Membership/peer_address.h"

namespace radishflow {

struct seed_peer {
    peer_address address;
    bool isLeaving = false;
};

} // namespace radishflow
