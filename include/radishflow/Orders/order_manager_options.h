// Declares the options of order_manager.
#pragma once

#include "radishflow/Support/ids.h"

namespace radishflow {

struct order_manager_options {
    daemon_id daemon;
    incarnation_number incarnation;
    /// Writes Dispatching before the first dispatch, which costs one more write per order. The claim of a
    /// daemon that died between claim and dispatch then resolves as not run; without it, as unknown.
    bool recordsDispatch = false;
};

} // namespace radishflow
