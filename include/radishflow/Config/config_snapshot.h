// Declares config_snapshot, one version of the configuration as a daemon holds it.
#pragma once

#include "radishflow/Config/config_pointer.h"
#include "radishflow/Config/fleet_config.h"

#include <string>

namespace radishflow {

/// Immutable once it is shared.
struct config_snapshot {
    config_pointer pointer;
    std::string text; ///< As published, for peers that ask for it.
    fleet_config config;
};

} // namespace radishflow
