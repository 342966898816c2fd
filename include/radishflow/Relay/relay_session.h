// Declares serveCaller, which serves the requests that a caller sends on one connection.
#pragma once

#include "radishflow/Relay/relay_call.h"
#include "radishflow/Relay/serve_messages.h"

namespace radishflow {

/// Serves the requests that have arrived. Called concurrently by the workers, each with a different connection.
template <relay_protocol Protocol>
session_result serveCaller(const Protocol& protocol, const relay_context& context, relay_socket& caller)
{
    const auto limits = [&] {
        const auto routes = context.routing.routes();
        return routes ? routes->limits() : caller_limits {};
    };
    const auto recordUnreadable = [&](const refusal& problem) {
        request_record record { .route = "unread", .outcome = "unreadable", .status = problem.status };
        context.metrics.count(record);
        logRequest(record);
    };
    return serveMessages(caller, callerSendTimeout, limits, recordUnreadable, [&](const caller_message& message) {
        const bool keepsOpen = keepsConnection(message.head.minorVersion, message.head.fields) && !context.stop.isStopping();
        if (!relay_call<Protocol> { protocol, context, caller, message, keepsOpen }.run())
            return response_result::Incomplete;
        return keepsOpen ? response_result::KeepOpen : response_result::Close;
    });
}

} // namespace radishflow
