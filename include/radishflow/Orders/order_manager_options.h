// Declares the options of order_manager.
#pragma once

#include "radishflow/Support/ids.h"

namespace radishflow {

struct order_manager_options {
    daemon_id daemon;
    incarnation_number incarnation;
    /// Writes Dispatching before the first dispatch, for one more write an order. The claim of a daemon
    /// that died between claim and dispatch is then resolved as not run, else it is unknown.
    bool recordsDispatch = false;
};

} // namespace radishflow
