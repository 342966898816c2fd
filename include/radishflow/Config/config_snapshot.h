// Declares config_snapshot, one version of the configuration as a daemon holds it.
#pragma once

#include "radishflow/Config/config_manifest.h"
#include "radishflow/Config/config_pointer.h"
#include "radishflow/Config/fleet_config.h"

#include <map>
#include <string>

namespace radishflow {

/// Immutable once it is shared.
struct config_snapshot {
    config_pointer pointer;
    config_manifest manifest;
    std::map<std::string, std::string> objects; ///< The manifest and the parts by key, for peers that ask.
    fleet_config config;
};

} // namespace radishflow
