// Implements the mapping of replies to HTTP statuses, and the limit on stored bodies.
#include "radishflow/Orders/order_reply.h"

namespace radishflow {

stored_response limitBody(stored_response response, std::size_t maximumBytes)
{
    if (response.body.size() <= maximumBytes)
        return response;
    response.body = {};
    response.isBodyStored = false;
    return response;
}

// The IETF draft of the Idempotency-Key header specifies 409 for a key in use and 422 for a reused key.
int statusOf(const order_reply& reply)
{
    switch (reply.reason) {
    case reply_reason::Replayed:
        return reply.response.status;
    case reply_reason::ResponseNotStored:
    case reply_reason::InProgress:
        return 409;
    case reply_reason::KeyReused:
        return 422;
    case reply_reason::InvalidKey:
        return 400;
    case reply_reason::ReservationExpired:
        return 410;
    case reply_reason::NotFound:
        return 404;
    case reply_reason::OtherDaemon:
        return 421;
    case reply_reason::HolderGone:
    case reply_reason::OutcomeLost:
        return 502;
    case reply_reason::Refused:
    case reply_reason::NotDispatched:
    case reply_reason::TableUnavailable:
    case reply_reason::ReservationLimitReached:
        return 503;
    }
    return 500;
}

bool isRetryable(reply_reason reason)
{
    switch (reason) {
    case reply_reason::InProgress:
    case reply_reason::TableUnavailable:
    case reply_reason::ReservationLimitReached:
    case reply_reason::OtherDaemon:
    case reply_reason::NotFound:
        return true;
    default:
        return false;
    }
}

} // namespace radishflow
