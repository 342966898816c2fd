// Declares the reading of gflags from the command line and the environment with all problems at once.
#pragma once

#include <string>
#include <vector>

namespace radishflow {

struct flag_reader_options {
    std::vector<std::string> flags; ///< The program's own flags, by their gflags names.
    std::string environmentPrefix; ///< Such as "RADISHFLOW_"; empty reads no environment.
};

struct flag_outcome {
    bool isHelp = false;
    std::string help; ///< Every flag with its default.
    std::vector<std::string> arguments; ///< What is not a flag, in order.
    std::vector<std::string> problems; ///< Unknown flags and malformed values.
};

/// Sets the flags. gflags itself would end the process at the first unknown one.
flag_outcome readFlags(int argc, char** argv, const flag_reader_options&);

} // namespace radishflow
