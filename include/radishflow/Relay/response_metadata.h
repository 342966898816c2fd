// Declares response_metadata, the information that the relay reads from the response head of a backend server.
#pragma once

#include "radishflow/Routing/load_sample.h"
#include "radishflow/Support/ids.h"

#include <chrono>
#include <optional>

namespace radishflow {

struct response_metadata {
    std::optional<request_id> requestId; ///< Request that the response belongs to; not set if the server does not state it.
    bool isSigned = false; ///< The head carries the server's signature; a response without it must not be forwarded as a success.
    bool isNotRun = false; ///< The server states that it did not run the request.
    bool isMisdirected = false; ///< The address now belongs to a different server.
    bool isLeaving = false; ///< The server is about to stop and must get no new requests.
    bool isEventStream = false;
    std::optional<std::chrono::milliseconds> retryAfter; ///< Time for which a server that refused the request wants none from this daemon.
    std::optional<double> requestsPerSecond; ///< Request limit of the server for all daemons together; not set if it states none.
    std::optional<load_sample> load; ///< Load that the server reports with the response.
};

} // namespace radishflow
