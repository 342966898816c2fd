// Declares reservation_permit, the right to dispatch the order of one redeemed reservation.
#pragma once

#include "radishflow/Orders/dispatch_latch.h"
#include "radishflow/Orders/order_reservation.h"

namespace radishflow {

/// Identifies the reservation's record and guards its dispatch. Not thread-safe.
struct reservation_permit {
    reservation_serial serial;
    dispatch_latch latch {}; ///< Callers call tryBegin() before each dispatch, and confirmNotDispatched() after a refusal.
};

} // namespace radishflow
