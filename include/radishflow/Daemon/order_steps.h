// Declares order_steps, the fence of one order while it is dispatched, be it a claim or a ticket.
#pragma once

#include "radishflow/Orders/order_reply.h"
#include "radishflow/Orders/stored_response.h"

#include <functional>

namespace radishflow {

/// What has to be recorded around the dispatch of one order; used by one thread.
struct order_steps {
    std::function<bool()> markDispatching; ///< False when no dispatch may follow.
    std::function<void()> confirmNotDispatched; ///< The last dispatch is known not to have run.
    std::function<void(const stored_response&)> recordDone;
    std::function<order_reply()> endNotRun;
    std::function<order_reply()> endUnknown;
};

} // namespace radishflow
