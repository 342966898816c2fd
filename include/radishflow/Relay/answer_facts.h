// Declares answer_facts, what a backend server's head says in the project's terms.
#pragma once

#include "radishflow/Routing/load_sample.h"
#include "radishflow/Support/ids.h"

#include <optional>

namespace radishflow {

struct answer_facts {
    std::optional<request_id> answered; ///< The request to which it belongs.
    bool isSigned = false; ///< Bears the server's signature, without which it may not be passed on as a success.
    bool isNotRun = false; ///< States that the server did not run the request.
    bool isOtherServer = false; ///< The address belongs to another server now.
    bool isEventStream = false;
    std::optional<load_sample> load;
};

} // namespace radishflow
