// Declares publish_outcome, how an attempt to publish a configuration ended.
#pragma once

#include "radishflow/Config/config_pointer.h"

namespace radishflow {

struct publish_outcome {
    bool isAccepted = false;
    config_pointer current; ///< The published one when accepted, else the one that is in force instead.
};

} // namespace radishflow
