// Implements the serving of the daemon's own pages.
#include "radishflow/Relay/document_session.h"

#include "radishflow/Relay/request_reader.h"
#include "radishflow/Relay/response_text.h"
#include "radishflow/Support/boottime_clock.h"

#include <chrono>

namespace radishflow {

static constexpr std::chrono::seconds sendTimeout { 2 };

session_end serveDocuments(relay_socket& socket, const document_source& source)
{
    while (true) {
        caller_message message;
        const read_result read = readRequest(socket, caller_limits {}, message);
        if (read.isClosed)
            return session_end::Closed;
        const time_point deadline = boottime_clock {}.now() + sendTimeout;
        if (read.problem) {
            if (socket.send(writeRefusal(*read.problem, {}, false), deadline) == io_outcome::Done)
                socket.closeGently();
            return session_end::Closed;
        }
        const document page = source(message.head.target);
        const bool keepsOpen = keepsConnection(message.head.minorVersion, message.head.fields);
        if (socket.send(writeDocument(page.status, page.contentType, page.body, keepsOpen), deadline) != io_outcome::Done)
            return session_end::Closed;
        if (!keepsOpen) {
            socket.closeGently();
            return session_end::Closed;
        }
        if (socket.input().empty())
            return session_end::Idle;
    }
}

} // namespace radishflow
