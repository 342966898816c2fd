// Declares the reader of service files.
#pragma once

#include "radishflow/Config/config_problem.h"
#include "radishflow/Config/fleet_config.h"
#include "radishflow/Config/named_text.h"

#include <variant>
#include <vector>

namespace radishflow {

using parsed_config = std::variant<fleet_config, std::vector<config_problem>>;

/// Returns the settings of all files together, or every problem of them in order of file and line.
parsed_config parseServiceFiles(const std::vector<named_text>& files);

} // namespace radishflow
