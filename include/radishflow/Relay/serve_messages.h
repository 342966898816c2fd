// Declares serveMessages, the loop over the requests of one connection.
#pragma once

#include "radishflow/Relay/request_reader.h"
#include "radishflow/Relay/response_text.h"
#include "radishflow/Relay/session_result.h"
#include "radishflow/Support/boottime_clock.h"

namespace radishflow {

/// What a response leaves of its connection.
enum class response_result {
    Incomplete, ///< The response isn't whole.
    Close,
    KeepOpen, ///< Another request may follow.
};

/// Serves what has arrived: serve(message) returns a response_end, limits() the bounds of the next request. What can't be
/// read is told to unreadable(problem) and refused within the send timeout.
template <typename Limits, typename Unreadable, typename Serve>
session_result serveMessages(relay_socket& socket, duration sendTimeout, const Limits& limits, const Unreadable& reportUnreadable, const Serve& serve)
{
    do {
        caller_message message;
        const read_result read = readRequest(socket, limits(), message);
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
