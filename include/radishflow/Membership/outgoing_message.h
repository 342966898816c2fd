// Declares outgoing_message, a message with its destination.
#pragma once

#include "radishflow/Membership/gossip_message.h"

namespace radishflow {

struct outgoing_message {
    peer_address to;
    gossip_message message;
};

} // namespace radishflow
