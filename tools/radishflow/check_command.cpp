// Implements `radishflow check`.
#include "command.h"
#include "service_file_set.h"

#include <iostream>

namespace radishflow {

exit_code runCheck(const command_options&, const std::vector<std::string>& arguments)
{
    const auto config = readServiceFiles(arguments);
    if (!config)
        return exit_code::Usage;
    std::cout << describe(*config) << '\n';
    return exit_code::Done;
}

} // namespace radishflow
