// Declares order_claim, the right of one daemon to dispatch one order.
#pragma once

#include "radishflow/Orders/claim_record.h"
#include "radishflow/Orders/dispatch_latch.h"
#include "radishflow/Orders/order.h"

namespace radishflow {

/// The claim's row as the holder last knew it. Made and moved on by order_manager; not thread-safe.
struct order_claim {
    order request;
    claim_record record;
    std::int64_t modRevision = 0;
    dispatch_latch latch {}; ///< Callers use only confirmNotDispatched.
};

} // namespace radishflow
