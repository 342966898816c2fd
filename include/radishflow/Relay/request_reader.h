// Declares readRequest, which receives one request from a caller.
#pragma once

#include "radishflow/Relay/body_memory.h"
#include "radishflow/Relay/relay_socket.h"
#include "radishflow/Requests/message_head.h"
#include "radishflow/Requests/refusal.h"
#include "radishflow/Routing/caller_limits.h"

#include <optional>
#include <string>

namespace radishflow {

struct caller_message {
    request_head head;
    std::string body; ///< Decoded.
    body_reservation bodyShare; ///< Of the daemon's memory for bodies.
    time_point receivedAt {}; ///< When the first bytes of the request were read.
};

struct read_result {
    bool isClosed = false; ///< The caller disconnected, or was idle until the timeout; no response is expected.
    std::optional<refusal> problem; ///< The request is invalid; the connection cannot be used for further requests.
};

/// Reads one complete request within the limits. A body counts in `bodies` unless that is null; one for which there is no room is refused
/// as not run, before it is read if its length is known.
read_result readRequest(relay_socket&, const caller_limits&, body_memory* bodies, caller_message&);

} // namespace radishflow
