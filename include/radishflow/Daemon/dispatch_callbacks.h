// Declares dispatch_callbacks, the callbacks that record the dispatch of an order under a claim or a reservation.
#pragma once

#include "radishflow/Orders/order_reply.h"
#include "radishflow/Orders/stored_response.h"

#include <functional>

namespace radishflow {

/// Callbacks around the dispatch of one order; used by one thread.
struct dispatch_callbacks {
    std::function<bool()> markDispatching; ///< Returns false when the order must not be dispatched.
    std::function<void()> recordNotRun; ///< Called when the last dispatch is known not to have run.
    std::function<void(const stored_response&)> recordDone;
    std::function<order_reply()> endNotRun;
    std::function<order_reply()> endUnknown;
};

} // namespace radishflow
