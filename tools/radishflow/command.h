// Declares command, one subcommand of the operators' tool, and what each returns.
#pragma once

#include <string>
#include <vector>

namespace radishflow {

/// Exit codes that scripts can rely on.
enum class exit_code : int {
    Done = 0,
    Failed = 1,
    Usage = 2, ///< Wrong flags, arguments or service files; nothing was changed.
    Refused = 3, ///< Another change came first; nothing was changed.
    Unknown = 4, ///< It can't be told whether the change took effect, or where it is in force.
};

/// Settings that all subcommands share.
struct command_options {
    std::string platform; ///< "IP:port".
    std::string daemon; ///< "IP:port" of one daemon's callers' interface; empty takes the host list's.
    bool isJson = false;
    int waitSeconds = 0;
    long base = -1; ///< Version that a publication replaces; -1 takes the present one.
};

struct command {
    const char* name;
    const char* usage;
    const char* summary;
    exit_code (*run)(const command_options&, const std::vector<std::string>& arguments);
};

exit_code runCheck(const command_options&, const std::vector<std::string>&);
exit_code runPublish(const command_options&, const std::vector<std::string>&);
exit_code runStatus(const command_options&, const std::vector<std::string>&);
exit_code runDaemons(const command_options&, const std::vector<std::string>&);
exit_code runServers(const command_options&, const std::vector<std::string>&);
exit_code runDump(const command_options&, const std::vector<std::string>&);
exit_code runZone(const command_options&, const std::vector<std::string>&);
exit_code runOrder(const command_options&, const std::vector<std::string>&);

} // namespace radishflow
