// Declares reservation_permit, the right to dispatch the order of one redeemed reservation.
#pragma once

#include "radishflow/Orders/dispatch_latch.h"
#include "radishflow/Orders/order_reservation.h"

namespace radishflow {

/// Not thread-safe.
struct reservation_permit {
    reservation_serial serial;
    dispatch_latch latch {}; ///< Callers use tryBegin() right before each dispatch, and confirmNotDispatched().
};

} // namespace radishflow
