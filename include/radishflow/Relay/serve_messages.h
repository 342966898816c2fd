// Declares serveMessages, which serves the requests of one connection in a loop.
#pragma once

#include "radishflow/Relay/request_reader.h"
#include "radishflow/Relay/response_text.h"
#include "radishflow/Relay/session_result.h"
#include "radishflow/Support/boottime_clock.h"

namespace radishflow {

/// State of a connection after a response.
enum class response_result {
    Incomplete, ///< The response was not sent completely; the connection is closed.
    Close, ///< The response is complete, and the connection is to be closed.
    KeepOpen, ///< Another request may follow on the connection.
};

/// Serves the requests that have arrived. `limits()` returns the limits for the next request, whose body counts in
/// `bodies` unless that is null, and `serve(message)` sends its
/// response and returns a response_result. Invalid requests are reported to `reportUnreadable(problem)` and refused; sending
/// the refusal takes at most `sendTimeout`.
template <typename Limits, typename ReportUnreadable, typename Serve>
session_result serveMessages(relay_socket& socket, duration sendTimeout, const Limits& limits, body_memory* bodies, const ReportUnreadable& reportUnreadable, const Serve& serve)
{
    do {
        caller_message message;
        const read_result read = readRequest(socket, limits(), bodies, message);
        if (read.isClosed)
            return session_result::Closed;
        response_result result = response_result::Close;
        if (read.problem) {
            reportUnreadable(*read.problem);
            if (socket.send(writeRefusal(*read.problem, {}, false), boottime_clock {}.now() + sendTimeout) != io_outcome::Done)
                result = response_result::Incomplete;
        } else {
            result = serve(message);
        }
        if (result == response_result::Close)
            socket.lingeringClose();
        if (result != response_result::KeepOpen)
            return session_result::Closed;
    } while (!socket.input().empty());
    return session_result::Idle;
}

} // namespace radishflow
