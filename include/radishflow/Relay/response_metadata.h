// Declares response_metadata, what a backend server's head says in the project's terms.
#pragma once

#include "radishflow/Routing/load_sample.h"
#include "radishflow/Support/ids.h"

#include <optional>

namespace radishflow {

struct response_metadata {
    std::optional<request_id> requestId; ///< The request to which it belongs.
    bool isSigned = false; ///< Bears the server's signature, without which it may not be passed on as a success.
    bool isNotRun = false; ///< States that the server did not run the request.
    bool isMisdirected = false; ///< The address belongs to another server now.
    bool isEventStream = false;
    std::optional<load_sample> load;
};

} // namespace radishflow
