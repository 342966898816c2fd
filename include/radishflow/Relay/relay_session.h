// Declares relay_session, which serves the requests that a caller sends on one connection.
#pragma once

#include "radishflow/Relay/relay_call.h"
#include "radishflow/Relay/serve_messages.h"

namespace radishflow {

/// Serves what has arrived. Called by workers, each with its own connection.
template <relay_protocol Protocol>
session_end serveCaller(const Protocol& protocol, const relay_parts& parts, relay_socket& caller)
{
    const auto limits = [&] {
        const auto routes = parts.routing.routes();
        return routes ? routes->limits() : caller_limits {};
    };
    const auto noteUnreadable = [&](const refusal& problem) {
        request_record record { .route = "unread", .outcome = "unreadable", .status = problem.status };
        parts.metrics.count(record);
        logRequest(record);
    };
    return serveMessages(caller, callerSendTimeout, limits, noteUnreadable, [&](const caller_message& message) {
        const bool keepsOpen = keepsConnection(message.head.minorVersion, message.head.fields) && !parts.stop.isStopping();
        if (!relay_call<Protocol> { protocol, parts, caller, message, keepsOpen }.run())
            return response_end::Broken;
        return keepsOpen ? response_end::Next : response_end::Last;
    });
}

} // namespace radishflow
