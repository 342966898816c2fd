// Declares peer_address, the address at which other daemons reach a daemon.
#pragma once

#include "radishflow/Support/string_id.h"

namespace radishflow {

/// "IP:port"; the same port number serves Thrift over TCP and gossip over UDP.
using peer_address = string_id<struct peer_address_tag>;

} // namespace radishflow
