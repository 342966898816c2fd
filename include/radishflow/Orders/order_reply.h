// Declares order_reply, the reply to a call whose order isn't run by it, and the reasons for it.
#pragma once

#include "radishflow/Orders/stored_response.h"
#include "radishflow/Support/execution_state.h"

#include <string>

namespace radishflow {

/// Why a call doesn't run its order.
enum class reply_reason {
    Replayed, ///< The order ran before; its stored response is returned.
    ResponseNotStored, ///< The order ran before, but its response was too long to store.
    InProgress, ///< Another call with this key is in progress; retry later.
    KeyReused, ///< The key was used for another order.
    Refused, ///< The key is fenced and the order will never run; a new attempt needs a new key.
    NotDispatched, ///< The holder ended its claim before dispatch, but could not record that in the table.
    HolderGone, ///< The daemon that handled the order no longer runs as that incarnation.
    OutcomeLost, ///< The order was dispatched, but the backend server's response was lost.
    TableUnavailable, ///< The table could not be read or written; retry with the same key.
    InvalidKey, ///< The key is malformed, or a reservation with an invalid MAC.
    ReservationLimitReached, ///< Too many reservations are in use; retry at the same daemon.
    OtherDaemon, ///< The reservation must be sent to the daemon that issued it.
    ReservationExpired, ///< The reservation can no longer be redeemed.
    NotFound, ///< The table has no row for this key.
};

struct order_reply {
    reply_reason reason = reply_reason::TableUnavailable;
    execution_state execution = execution_state::Unknown;
    stored_response response {}; ///< Only when Replayed.
    std::string detail {}; ///< For logs.
};

/// Returns the HTTP status for the caller, which is that of the stored response when it is replayed.
int statusOf(const order_reply&);

/// Returns whether a later call with the same key may get another reply.
bool isRetryable(reply_reason);

} // namespace radishflow
