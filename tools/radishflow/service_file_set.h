// Declares the reading of service files named on the command line.
#pragma once

#include "radishflow/Config/fleet_config.h"

#include <optional>
#include <string>
#include <vector>

namespace radishflow {

/// Reads and checks files; prints every problem to standard error and returns nothing when there is one.
std::optional<fleet_config> readServiceFiles(const std::vector<std::string>& paths);

} // namespace radishflow
