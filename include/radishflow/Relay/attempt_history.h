// Declares attempt_history, what became of a request at the servers that it was sent to.
#pragma once

#include "radishflow/Requests/refusal.h"
#include "radishflow/Routing/route.h"
#include "radishflow/Support/ids.h"

#include <optional>
#include <vector>

namespace radishflow {

struct attempt_history {
    std::vector<server_id> servers; ///< All that were tried.
    int mayHaveRun = 0; ///< Servers that may have begun to run it.
    int notRun = 0; ///< Servers that certainly didn't.
};

/// Whether the route lets the request be sent once more. Servers that certainly didn't run it don't count towards
/// the route's attempts, but a few of them end the search.
bool canResend(const route&, const attempt_history&);

/// Returns the answer of a request that no server answered: "not run" only where that is certain.
refusal refusalForAttempts(const attempt_history&, bool isDeadlineOver);

} // namespace radishflow
