// Declares serveCaller and serveForwarded, which serve the requests that a caller or another daemon sends on one connection.
#pragma once

#include "radishflow/Relay/relay_call.h"
#include "radishflow/Relay/serve_messages.h"

#include <algorithm>
#include <string>

namespace radishflow {

/// Returns the limits for the next request of a caller or daemon.
inline caller_limits currentLimits(const relay_context& context)
{
    const auto routes = context.routing.routes();
    return routes ? routes->limits() : caller_limits {};
}

inline void recordUnreadableRequest(const relay_context& context, const refusal& problem)
{
    request_record record { .route = "unread", .outcome = "unreadable", .status = problem.status };
    context.metrics.count(record);
    logRequest(record);
}

/// Serves the requests that have arrived. Called concurrently by the workers, each with a different connection.
template <relay_protocol Protocol>
session_result serveCaller(const Protocol& protocol, const relay_context& context, relay_socket& caller)
{
    const auto limits = [&] { return currentLimits(context); };
    const auto recordUnreadable = [&](const refusal& problem) { recordUnreadableRequest(context, problem); };
    return serveMessages(caller, callerSendTimeout, limits, &context.requestBodies, recordUnreadable, [&](const caller_message& message) {
        // Only daemons may forward requests, on a port of their own.
        if (std::any_of(message.head.fields.all.begin(), message.head.fields.all.end(), [](const header_field& field) { return isForwardingField(field.name); })) {
            const refusal problem { .status = 400, .title = "Reserved field", .detail = "fields of forwarded requests are not accepted from callers" };
            recordUnreadable(problem);
            return caller.send(writeRefusal(problem, {}, false), boottime_clock {}.now() + callerSendTimeout) == io_outcome::Done ? response_result::Close : response_result::Incomplete;
        }
        const bool keepsOpen = keepsConnection(message.head.minorVersion, message.head.fields) && !context.stop.isStopping();
        if (!relay_call<Protocol> { protocol, context, caller, message, keepsOpen }.run())
            return response_result::Incomplete;
        return keepsOpen ? response_result::KeepOpen : response_result::Close;
    });
}

/// Returns whether the daemon that the request names has published the token that it carries.
inline bool isFromFleet(const forwarded_request& request, const relay_context& context)
{
    const fleet_view& fleet = *context.routing.fleet();
    if (context.forwarding.isKnownToken && context.forwarding.isKnownToken(request.from, request.token))
        return std::any_of(fleet.daemons.begin(), fleet.daemons.end(), [&](const fleet_daemon& daemon) { return daemon.id == request.from; });
    return std::any_of(fleet.daemons.begin(), fleet.daemons.end(), [&](const fleet_daemon& daemon) { return daemon.id == request.from && daemon.forwardingToken == request.token; });
}

/// Serves the requests that other daemons forward on one connection; others are refused. Called concurrently by the workers, each
/// with a different connection.
template <relay_protocol Protocol>
session_result serveForwarded(const Protocol& protocol, const relay_context& context, relay_socket& peer)
{
    const auto limits = [&] { return currentLimits(context); };
    const auto recordUnreadable = [&](const refusal& problem) { recordUnreadableRequest(context, problem); };
    return serveMessages(peer, callerSendTimeout, limits, &context.requestBodies, recordUnreadable, [&](caller_message& message) {
        const auto forwarded = readForwardedRequest(message.head.fields);
        if (!forwarded || !isFromFleet(*forwarded, context)) {
            const refusal problem { .status = 503, .title = "Unknown daemon", .detail = "the request does not carry the token of a daemon of this fleet", .retryAfter = forwardedRetryAfter };
            recordUnreadable(problem);
            const std::string fields = writeForwardedFields({ .execution = execution_state::NotRun, .scope = refusal_scope::Access });
            return peer.send(writeRefusal(problem, {}, false, fields), boottime_clock {}.now() + callerSendTimeout) == io_outcome::Done ? response_result::Close : response_result::Incomplete;
        }
        removeForwardingFields(message.head.fields);
        const bool keepsOpen = keepsConnection(message.head.minorVersion, message.head.fields) && !context.stop.isStopping();
        if (!relay_call<Protocol> { protocol, context, peer, message, keepsOpen, &*forwarded }.run())
            return response_result::Incomplete;
        return keepsOpen ? response_result::KeepOpen : response_result::Close;
    });
}

} // namespace radishflow
