// Declares order_runner, the entry's side of a non-idempotent call.
#pragma once

#include "radishflow/Daemon/known_server.h"
#include "radishflow/Daemon/member_liveness.h"
#include "radishflow/Daemon/order_steps.h"
#include "radishflow/Daemon/owner_link.h"
#include "radishflow/Daemon/shared_retry_budget.h"
#include "radishflow/Edge/caller_answer.h"
#include "radishflow/Orders/order_manager.h"
#include "radishflow/Orders/reservation_manager.h"
#include "radishflow/Platform/platform_client.h"
#include "radishflow/Requests/request_submission.h"
#include "radishflow/Support/boottime_clock.h"

#include <vector>

namespace radishflow {

/// Runs each order at most once: under a claim in the platform's table, or under a ticket of this process,
/// which needs no table. Thread-safe.
class order_runner {
public:
    struct options {
        daemon_id daemon;
        incarnation_number process; ///< Of this process; never used before.
        std::string secret; ///< Signs tickets; never leaves the process.
    };

    order_runner(options, platform_client&, gossip_transport&, owner_link&, shared_retry_budget&);

    /// Runs an order to its end and returns the answer or the reason.
    caller_answer run(const request_submission&, const std::vector<known_server>& rank);

    /// Says what is known of an order.
    order_reply lookUp(const workspace_id&, const idempotency_key&);

    /// Returns keys that only this process runs, also while the table is dark.
    std::vector<idempotency_key> issueTickets(const workspace_id&, int count);

    /// Writes outcomes that the table did not take while it was dark; called about once a second.
    void recordPending();

private:
    caller_answer runClaimed(const request_submission&, const order&, const std::vector<known_server>& rank);
    caller_answer runTicket(const request_submission&, const order&, const std::vector<known_server>& rank);
    caller_answer dispatch(const request_submission&, const std::vector<known_server>& rank, const order_steps&);

    boottime_clock m_clock;
    owner_link& m_link;
    shared_retry_budget& m_retries;
    order_manager<platform_client, member_liveness> m_desk;
    reservation_manager<boottime_clock> m_tickets;
};

} // namespace radishflow
