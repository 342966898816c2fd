// Implements the reading of service files named on the command line.
#include "service_file_set.h"

#include "radishflow/Config/parse_service_files.h"

#include <fstream>
#include <iostream>
#include <sstream>

namespace radishflow {

std::optional<fleet_config> readServiceFiles(const std::vector<std::string>& paths)
{
    std::vector<named_text> files;
    bool areAllRead = !paths.empty();
    if (paths.empty())
        std::cerr << "radishflow: name at least one service file\n";
    for (const std::string& path : paths) {
        std::ifstream file { path };
        std::ostringstream text;
        text << file.rdbuf();
        if (!file) {
            std::cerr << path << ": can't be read\n";
            areAllRead = false;
        }
        files.push_back({ .name = path, .text = text.str() });
    }
    if (!areAllRead)
        return std::nullopt;
    parsed_config parsed = parseServiceFiles(files);
    if (auto* config = std::get_if<fleet_config>(&parsed))
        return std::move(*config);
    for (const config_problem& problem : std::get<std::vector<config_problem>>(parsed))
        std::cerr << describe(problem) << '\n';
    return std::nullopt;
}

} // namespace radishflow
