// Declares the reading of the daemon's settings from flags and environment variables.
#pragma once

#include "radishflow/Daemon/daemon_options.h"

#include <string>
#include <vector>

namespace radishflow {

/// Checked settings, or everything that is wrong with them.
struct settings_outcome {
    daemon_options options;
    std::string logLevel;
    bool isHelp = false;
    std::string help;
    std::vector<std::string> problems;
};

/// Reads flags, then RADISHFLOW_<FLAG> for each flag that was not given. Opens nothing.
settings_outcome readSettings(int argc, char** argv);

} // namespace radishflow
