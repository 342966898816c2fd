// Declares peer_configuration, the configuration that a daemon gives to another.
#pragma once

#include "radishflow/Support/ids.h"

#include <map>
#include <string>

namespace radishflow {

/// What a daemon has in force; version 0 for nothing newer than was asked for.
struct peer_configuration {
    config_version version;
    std::string objectKey;
    std::map<std::string, std::string> objects; ///< The manifest and the parts by key.
};

} // namespace radishflow
