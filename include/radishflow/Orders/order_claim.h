// Declares order_claim, the right of one daemon to dispatch one order.
#pragma once

#include "radishflow/Orders/claim_record.h"
#include "radishflow/Orders/dispatch_latch.h"
#include "radishflow/Orders/order.h"

namespace radishflow {

/// The claim's row in the last state that the holder wrote or read. Created and updated by order_manager.
/// Not thread-safe.
struct order_claim {
    order request;
    claim_record record;
    std::int64_t modRevision = 0;
    dispatch_latch latch {}; ///< Callers call only confirmNotDispatched; order_manager calls the rest.
};

} // namespace radishflow
