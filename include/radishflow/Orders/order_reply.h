// Declares order_reply, what a caller is told in place of a fresh run.
#pragma once

#include "radishflow/Orders/stored_response.h"
#include "radishflow/Support/execution_state.h"

#include <string>

namespace radishflow {

/// Why an order isn't run by this call.
enum class reply_reason {
    Replayed, ///< The stored response of the first run follows.
    ResponseNotStored, ///< It ran, but its response was too long to keep.
    InProgress, ///< Another call with this key is being handled; ask again.
    KeyReused, ///< The key belongs to another order.
    Refused, ///< Its key is fenced; a new try needs a new key.
    NotDispatched, ///< The claim is held and its holder has given it up before dispatch.
    HolderGone, ///< The daemon that handled it is gone.
    OutcomeLost, ///< It was dispatched and the backend server's response was lost.
    TableUnavailable, ///< Nothing is settled; the same key may be sent again.
    InvalidKey, ///< Not a key that any daemon accepts.
    ReservationLimitReached, ///< The reservation may be sent again to the same daemon.
    OtherDaemon, ///< The reservation has to go to the daemon that issued it.
    ReservationExpired, ///< The reservation can't be redeemed any more.
    NotFound, ///< No daemon has written this key.
};

struct order_reply {
    reply_reason reason = reply_reason::TableUnavailable;
    execution_state execution = execution_state::Unknown;
    stored_response response {}; ///< Only when Replayed.
    std::string detail {}; ///< For logs.
};

/// Returns the HTTP status for a caller; of the stored response when it is replayed.
int statusOf(const order_reply&);

/// Whether the same key may be sent again later to learn more.
bool isRetryable(reply_reason);

} // namespace radishflow
