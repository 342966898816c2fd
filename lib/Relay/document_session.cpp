// Implements the serving of the daemon's own documents.
#include "radishflow/Relay/document_session.h"

#include "radishflow/Relay/serve_messages.h"

#include <chrono>
#include <cstddef>

namespace radishflow {

static constexpr std::chrono::seconds sendTimeout { 2 };
static constexpr std::size_t maxBodyBytes = 16384; // Of a request; documents need none.

session_result serveDocuments(relay_socket& socket, const document_source& source)
{
    return serveMessages(
        socket, sendTimeout, [] { return caller_limits { .bodyBytes = maxBodyBytes }; }, nullptr, [](const refusal&) {}, [&](const caller_message& message) {
        const document page = source(message.head.target);
        const bool keepsOpen = keepsConnection(message.head.minorVersion, message.head.fields);
        if (socket.send(writeDocument(page.status, page.contentType, page.body, keepsOpen), boottime_clock {}.now() + sendTimeout) != io_outcome::Done)
            return response_result::Incomplete;
        return keepsOpen ? response_result::KeepOpen : response_result::Close; });
}

} // namespace radishflow
