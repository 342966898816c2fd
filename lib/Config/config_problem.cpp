// Implements the wording of problems.
#include "radishflow/Config/config_problem.h"

namespace radishflow {

std::string describe(const config_problem& problem)
{
    std::string text = problem.file + ":" + std::to_string(problem.line) + ": ";
    if (!problem.key.empty())
        text += problem.key + ": ";
    return text + problem.reason;
}

} // namespace radishflow
