// Declares the reading of one request from a caller.
#pragma once

#include "radishflow/Relay/message_head.h"
#include "radishflow/Relay/relay_socket.h"
#include "radishflow/Requests/refusal.h"
#include "radishflow/Routing/caller_limits.h"

#include <optional>
#include <string>

namespace radishflow {

struct caller_message {
    request_head head;
    std::string body; ///< Without its framing.
    time_point receivedAt {}; ///< When its first bytes were read.
};

struct read_result {
    bool isClosed = false; ///< The caller left or broke off; nobody waits for an answer.
    std::optional<refusal> problem; ///< The request can't be read, and neither can what follows it.
};

/// Reads one whole request within the limits.
read_result readRequest(relay_socket&, const caller_limits&, caller_message&);

} // namespace radishflow
