// Declares ticket_permit, the right to dispatch the order of one redeemed ticket.
#pragma once

#include "radishflow/Orders/dispatch_latch.h"
#include "radishflow/Orders/order_ticket.h"

namespace radishflow {

/// Not thread-safe.
struct ticket_permit {
    ticket_serial serial;
    dispatch_latch latch {}; ///< Callers use open() right before each dispatch, and noteRefused().
};

} // namespace radishflow
