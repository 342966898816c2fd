// Declares order_runner, which runs non-idempotent calls at the daemon that received them.
#pragma once

#include "radishflow/Daemon/dispatch_callbacks.h"
#include "radishflow/Daemon/known_server.h"
#include "radishflow/Daemon/member_liveness.h"
#include "radishflow/Daemon/owner_client.h"
#include "radishflow/Daemon/shared_retry_budget.h"
#include "radishflow/Edge/caller_answer.h"
#include "radishflow/Orders/order_manager.h"
#include "radishflow/Orders/reservation_manager.h"
#include "radishflow/Platform/platform_client.h"
#include "radishflow/Requests/request_submission.h"
#include "radishflow/Support/boottime_clock.h"

#include <vector>

namespace radishflow {

/// Runs each order at most once: under a claim in the platform's table, or under a reservation issued by this
/// process, which does not need the table. Thread-safe.
class order_runner {
public:
    struct options {
        daemon_id daemon;
        incarnation_number process; ///< Incarnation of this process; never used before.
        std::string secret; ///< Signs reservations; never leaves the process.
    };

    order_runner(options, platform_client&, gossip_transport&, owner_client&, shared_retry_budget&);

    /// Runs an order to completion and returns the response or the reason of its failure.
    caller_answer run(const request_submission&, const std::vector<known_server>& rank);

    /// Returns the recorded state of an order.
    order_reply lookUp(const workspace_id&, const idempotency_key&);

    /// Returns reservations: keys that only this process runs, even while the table is unreachable.
    std::vector<idempotency_key> issueReservations(const workspace_id&, int count);

    /// Writes outcomes that could not be written while the table was unreachable; called about once a second.
    void recordPending();

private:
    caller_answer runClaimed(const request_submission&, const order&, const std::vector<known_server>& rank);
    caller_answer runReserved(const request_submission&, const order&, const std::vector<known_server>& rank);
    caller_answer dispatch(const request_submission&, const std::vector<known_server>& rank, const dispatch_callbacks&);

    boottime_clock m_clock;
    owner_client& m_ownerClient;
    shared_retry_budget& m_retries;
    order_manager<platform_client, member_liveness> m_claims;
    reservation_manager<boottime_clock> m_reservations;
};

} // namespace radishflow
