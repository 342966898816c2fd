// The operators' tool of radishflow: checks and publishes service files, steers zones, shows the fleet.
#include "radishflow/Flags/flag_reader.h"

#include "command.h"

#include <gflags/gflags.h>

#include <csignal>
#include <iostream>

DEFINE_string(platform, "", "IP number and port of the platform's service.");
DEFINE_string(daemon, "", "IP number and port of one daemon's callers' interface; empty asks the platform's host list.");
DEFINE_bool(json, false, "Print JSON.");
DEFINE_int32(wait, 0, "Seconds to wait until a publication is in force everywhere.");
DEFINE_int64(base, -1, "Version that the publication replaces; -1 takes the one in force.");

using namespace radishflow;

static constexpr command commands[] {
    { "check", "check FILE...", "checks service files and reports every problem", runCheck },
    { "publish", "publish FILE... [--wait=14]", "checks service files and puts them in force", runPublish },
    { "status", "status", "shows the version in force and how many daemons have it", runStatus },
    { "daemons", "daemons", "lists the daemons", runDaemons },
    { "servers", "servers", "lists the backend servers with their owners", runServers },
    { "zone", "zone out|in ZONE", "takes an availability zone out of service or brings it back", runZone },
    { "dump", "dump", "prints the whole state of the daemon given by --daemon", runDump },
    { "order", "order WORKSPACE KEY", "shows what is known of a non-idempotent request", runOrder },
};

static void printHelp(const std::string& flags)
{
    std::cout << "radishflow: the operators' tool.\n\nUsage: radishflow COMMAND [ARGUMENT...] [FLAG...]\n\n";
    for (const command& entry : commands)
        std::cout << "  " << entry.usage << "\n      " << entry.summary << '\n';
    std::cout << "\nExamples:\n  radishflow check records/radishflow.yaml\n  radishflow publish */radishflow.yaml --platform=127.0.0.1:7000 --wait=14\n  radishflow zone out za --daemon=127.0.0.1:8001\n"
              << "\nExit codes: 0 done, 1 failed, 2 wrong usage or service files, 3 another change came first, 4 can't be told.\n\nFlags (or RADISHFLOW_<FLAG>):\n"
              << flags;
}

static int runNamed(const std::vector<std::string>& arguments)
{
    const command_options options { .platform = FLAGS_platform, .daemon = FLAGS_daemon, .isJson = FLAGS_json, .waitSeconds = FLAGS_wait, .base = FLAGS_base };
    for (const command& entry : commands) {
        if (arguments.front() == entry.name)
            return static_cast<int>(entry.run(options, { arguments.begin() + 1, arguments.end() }));
    }
    std::cerr << "radishflow: no command " << arguments.front() << "; see radishflow --help\n";
    return static_cast<int>(exit_code::Usage);
}

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    const flag_outcome flags = readFlags(argc, argv, { .flags = { "platform", "daemon", "json", "wait", "base" }, .environmentPrefix = "RADISHFLOW_" });
    if (flags.isHelp || (flags.problems.empty() && flags.arguments.empty())) {
        printHelp(flags.help);
        return flags.isHelp ? 0 : static_cast<int>(exit_code::Usage);
    }
    for (const std::string& problem : flags.problems)
        std::cerr << "radishflow: " << problem << '\n';
    if (!flags.problems.empty())
        return static_cast<int>(exit_code::Usage);
    return runNamed(flags.arguments);
}
