// Declares serveMessages, the loop over the requests of one connection.
#pragma once

#include "radishflow/Relay/request_reader.h"
#include "radishflow/Relay/response_text.h"
#include "radishflow/Relay/session_end.h"
#include "radishflow/Support/boottime_clock.h"

namespace radishflow {

/// What a response leaves of its connection.
enum class response_end {
    Broken, ///< The response isn't whole.
    Last,
    Next, ///< Another request may follow.
};

/// Serves what has arrived: serve(message) returns a response_end, limits() the bounds of the next request. What can't be
/// read is told to unreadable(problem) and refused within the send timeout.
template <typename Limits, typename Unreadable, typename Serve>
session_end serveMessages(relay_socket& socket, duration sendTimeout, const Limits& limits, const Unreadable& unreadable, const Serve& serve)
{
    do {
        caller_message message;
        const read_result read = readRequest(socket, limits(), message);
        if (read.isClosed)
            return session_end::Closed;
        response_end end = response_end::Last;
        if (read.problem) {
            unreadable(*read.problem);
            if (socket.send(writeRefusal(*read.problem, {}, false), boottime_clock {}.now() + sendTimeout) != io_outcome::Done)
                end = response_end::Broken;
        } else {
            end = serve(message);
        }
        if (end == response_end::Last)
            socket.closeGently();
        if (end != response_end::Next)
            return session_end::Closed;
    } while (!socket.input().empty());
    return session_end::Idle;
}

} // namespace radishflow
