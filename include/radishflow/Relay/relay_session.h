// Declares relay_session, which serves the requests that a caller sends on one connection.
#pragma once

#include "radishflow/Relay/relay_call.h"
#include "radishflow/Relay/session_end.h"

namespace radishflow {

/// Serves what has arrived. Called by workers, each with its own connection.
template <relay_protocol Protocol>
session_end serveCaller(const Protocol& protocol, const relay_parts& parts, relay_socket& caller)
{
    while (true) {
        const auto routes = parts.routing.routes();
        caller_message message;
        const read_result read = readRequest(caller, routes ? routes->limits() : caller_limits {}, message);
        if (read.isClosed)
            return session_end::Closed;
        if (read.problem) {
            request_record record { .route = "unread", .outcome = "unreadable", .status = read.problem->status };
            parts.metrics.count(record);
            logRequest(record);
            if (caller.send(writeRefusal(*read.problem, {}, false), boottime_clock {}.now() + callerSendTimeout) == io_outcome::Done)
                caller.closeGently();
            return session_end::Closed;
        }
        const bool keepsOpen = keepsConnection(message.head.minorVersion, message.head.fields) && !parts.stop.isStopping();
        if (!relay_call<Protocol> { protocol, parts, caller, message, keepsOpen }.run()) {
            caller.close();
            return session_end::Closed;
        }
        if (!keepsOpen) {
            caller.closeGently();
            return session_end::Closed;
        }
        if (caller.input().empty())
            return session_end::Idle;
    }
}

} // namespace radishflow
