// Implements the reading of gflags with all problems at once.
#include "radishflow/Flags/flag_reader.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <cctype>
#include <cstring>
#include <set>
#include <sstream>

extern char** environ; // NOLINT(readability-identifier-naming): the C library's name.

namespace radishflow {

static bool isOwn(const flag_reader_options& options, const std::string& flag)
{
    return std::find(options.flags.begin(), options.flags.end(), flag) != options.flags.end();
}

static void setFlag(const flag_reader_options& options, const std::string& flag, const std::string& value, const std::string& shown, flag_outcome& outcome)
{
    if (!isOwn(options, flag))
        outcome.problems.push_back("unknown setting " + shown);
    else if (gflags::SetCommandLineOption(flag.c_str(), value.c_str()).empty())
        outcome.problems.push_back("malformed value in " + shown);
}

static void readArgument(const flag_reader_options& options, std::string argument, std::set<std::string>& given, flag_outcome& outcome)
{
    if (!argument.starts_with("-")) {
        outcome.arguments.push_back(std::move(argument));
        return;
    }
    const std::string text = argument.substr(argument.starts_with("--") ? 2 : 1);
    if (text == "help") {
        outcome.isHelp = true;
        return;
    }
    const std::size_t equals = text.find('=');
    const std::string flag = text.substr(0, equals);
    given.insert(flag);
    setFlag(options, flag, equals == std::string::npos ? "true" : text.substr(equals + 1), argument, outcome);
}

static std::string toFlagName(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return text;
}

static std::string describeFlags(const flag_reader_options& options)
{
    std::ostringstream text;
    for (const std::string& flag : options.flags) {
        gflags::CommandLineFlagInfo info;
        if (gflags::GetCommandLineFlagInfo(flag.c_str(), &info))
            text << "  --" << flag << " (" << info.type << ", default \"" << info.default_value << "\")\n      " << info.description << '\n';
    }
    return text.str();
}

flag_outcome readFlags(int argc, char** argv, const flag_reader_options& options)
{
    flag_outcome outcome;
    outcome.help = describeFlags(options);
    std::set<std::string> given;
    for (int index = 1; index < argc; ++index)
        readArgument(options, argv[index], given, outcome);
    for (char** variable = environ; !options.environmentPrefix.empty() && *variable; ++variable) {
        const std::string text { *variable };
        const std::size_t equals = text.find('=');
        if (!text.starts_with(options.environmentPrefix) || equals == std::string::npos)
            continue;
        const std::string flag = toFlagName(text.substr(options.environmentPrefix.size(), equals - options.environmentPrefix.size()));
        if (!given.contains(flag))
            setFlag(options, flag, text.substr(equals + 1), text.substr(0, equals), outcome);
    }
    return outcome;
}

} // namespace radishflow
