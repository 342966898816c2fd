// Checks a configuration of the users' platform before it is sent: errors, entries that never match, limits that contradict each other,
// and what differs from the version in force.
#include "radishflow/Routing/config_check.h"

#include "row_decoders.h"

#include <gflags/gflags.h>

#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <string>

DEFINE_string(in_force, "", "file with the configuration in force, to compare with; empty for none");

using namespace radishflow;

static constexpr int findingsExitCode = 1;
static constexpr int unreadableExitCode = 2;

static std::optional<routing_config> readConfig(const std::string& path)
{
    std::ifstream file { path };
    if (!file) {
        std::cerr << path << ": cannot be read\n";
        return std::nullopt;
    }
    const store_row row { .key = path, .value = { std::istreambuf_iterator<char> { file }, {} } };
    return valueOr(
        [&]() -> result<std::optional<routing_config>> {
            BOOST_LEAF_AUTO(config, decodeConfig(row));
            return std::optional { std::move(config) };
        },
        [&](const failure& error) -> std::optional<routing_config> {
            std::cerr << path << ": " << error.detail << '\n';
            return std::nullopt;
        });
}

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("radishflow-check [--in_force=FILE] FILE\nExits with 1 if the configuration has errors, and with 2 if it cannot be read.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (argc != 2) {
        std::cerr << gflags::ProgramUsage() << '\n';
        return unreadableExitCode;
    }
    const auto candidate = readConfig(argv[1]);
    const auto inForce = FLAGS_in_force.empty() ? std::nullopt : readConfig(FLAGS_in_force);
    if (!candidate || (!FLAGS_in_force.empty() && !inForce))
        return unreadableExitCode;
    bool hasErrors = false;
    for (const config_finding& finding : checkConfig(*candidate)) {
        std::cout << nameOf(finding.kind) << ": " << finding.entry << ": " << finding.text << '\n';
        hasErrors = hasErrors || finding.kind == finding_kind::Error;
    }
    if (inForce) {
        for (const std::string& line : describeChanges(*inForce, *candidate))
            std::cout << line << '\n';
    }
    return hasErrors ? findingsExitCode : 0;
}
