// Declares peer_configuration, the configuration that a daemon gives to another.
#pragma once

#include "radishflow/Support/ids.h"

#include <string>

namespace radishflow {

/// What a daemon has in force; version 0 for nothing.
struct peer_configuration {
    config_version version;
    std::string objectKey;
    std::string text;
};

} // namespace radishflow
