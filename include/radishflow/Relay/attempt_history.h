// Declares attempt_history, the results of the attempts to run one request, and the decisions based on them.
#pragma once

#include "radishflow/Requests/refusal.h"
#include "radishflow/Routing/route.h"
#include "radishflow/Support/ids.h"

#include <optional>
#include <vector>

namespace radishflow {

struct attempt_history {
    std::vector<server_id> servers; ///< All servers tried so far.
    std::vector<server_id> contactedServers; ///< Those of them to which a connection was established.
    int mayHaveRun = 0; ///< Number of attempts after which the server may have started to run the request.
    int notRun = 0; ///< Number of attempts after which the server certainly did not run the request.
};

/// Returns whether a further server may run the request.
bool mayRunAgain(const route&, const attempt_history&);

/// Returns whether the request may be sent to another server. Attempts that certainly did not run it do not count
/// towards the route's attempts; they have a small limit of their own.
bool canResend(const route&, const attempt_history&);

/// Returns the refusal to send when no server answered. It states that the request was not run only if that is certain.
refusal refusalForAttempts(const attempt_history&, bool isDeadlineOver);

} // namespace radishflow
