// Declares the count of daemons that have a configuration in force.
#pragma once

#include "radishflow/Support/ids.h"

#include "command.h"

#include <string>
#include <vector>

namespace radishflow {

/// Where a version is in force, as far as the daemons answer.
struct in_force_count {
    int daemons = 0;
    int inForce = 0;
    std::vector<std::string> silent; ///< Daemons that did not answer, of which nothing can be told.
};

/// Asks each daemon once.
in_force_count countInForce(const std::vector<std::string>& addresses, config_version);

/// Prints the count, and says so plainly when it can't be told of every daemon.
void printCount(const command_options&, config_version, const in_force_count&);

} // namespace radishflow
