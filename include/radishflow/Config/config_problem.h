// Declares config_problem, one thing that is wrong in a set of service files.
#pragma once

#include <string>

namespace radishflow {

struct config_problem {
    std::string file;
    int line = 0; ///< Counts from 1.
    std::string key; ///< Path such as "services.assistant.cold_limit"; empty when the file isn't YAML.
    std::string reason;

    friend bool operator==(const config_problem&, const config_problem&) = default;
};

/// Returns "file:line: key: reason".
std::string describe(const config_problem&);

} // namespace radishflow
