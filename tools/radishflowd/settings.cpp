// Implements the reading of the daemon's settings.
#include "settings.h"

#include "radishflow/Flags/flag_reader.h"

#include <Poco/Net/IPAddress.h>
#include <Poco/StringTokenizer.h>
#include <gflags/gflags.h>

#include <set>

DEFINE_string(name, "", "Name of this daemon, unique in the fleet.");
DEFINE_string(host, "", "Host that this daemon runs on.");
DEFINE_string(zone, "", "Availability zone of the host.");
DEFINE_string(region, "", "Region of the availability zone.");
DEFINE_string(address, "127.0.0.1", "IP number to listen on, for callers and for peers.");
DEFINE_int32(http_port, 0, "Port for callers; 0 takes a free one.");
DEFINE_int32(peer_port, 0, "Port for other daemons; 0 takes a free one.");
DEFINE_string(platform, "", "IP number and port of the platform's service, such as 10.0.0.9:7000.");
DEFINE_string(seeds, "", "Peer addresses of some daemons, such as 10.0.0.1:7101,10.0.1.1:7101, to join by when the platform can't be asked; 64 at most.");
DEFINE_int32(caller_limit, 1024, "Callers' connections at once, 1 to 65536.");
DEFINE_int32(request_limit, 1024, "Requests at owned servers at once, 1 to 65536.");
DEFINE_int32(body_limit_bytes, 1 << 20, "Largest request body in bytes, 1024 to 67108864.");
DEFINE_int32(poll_interval_ms, 1000, "Time between looks at the platform in milliseconds, 50 to 5000.");
DEFINE_int32(term_ms, 12000, "How long one renewal of the ownership lasts in milliseconds, 1000 to 60000; the same at every daemon.");
DEFINE_int32(report_lag_ms, 3000, "Longest time by which an engine's load report is late in milliseconds, 0 to 60000.");
DEFINE_int32(longest_request_seconds, 120, "No request runs for longer, 1 to 3600 s; the same at every daemon.");
DEFINE_int32(drain_seconds, 130, "Longest graceful stop, 1 to 7200 s; what is in progress then is cut and said.");
DEFINE_int32(address_keep_seconds, 4, "Time that callers keep an address answer, 1 to 3600 s.");
DEFINE_string(log_level, "info", "trace, debug, info, warn, err or off.");

namespace radishflow {

static const std::vector<std::string> ownFlags { "name", "host", "zone", "region", "address", "http_port", "peer_port", "platform", "seeds", "caller_limit", "request_limit", "body_limit_bytes", "poll_interval_ms", "term_ms", "report_lag_ms", "longest_request_seconds", "drain_seconds", "address_keep_seconds", "log_level" };

static void requireText(const char* flag, const std::string& value, std::vector<std::string>& problems)
{
    if (value.empty())
        problems.push_back(std::string { "--" } + flag + " is missing");
}

static void requireRange(const char* flag, int value, int low, int high, std::vector<std::string>& problems)
{
    if (value < low || value > high)
        problems.push_back(std::string { "--" } + flag + "=" + std::to_string(value) + " is not within " + std::to_string(low) + " to " + std::to_string(high));
}

static bool isAddressWithPort(const std::string& text)
{
    const std::size_t colon = text.rfind(':');
    Poco::Net::IPAddress address;
    if (colon == std::string::npos || !Poco::Net::IPAddress::tryParse(text.substr(0, colon), address))
        return false;
    const std::string port = text.substr(colon + 1);
    return !port.empty() && port.size() <= 5 && port.find_first_not_of("0123456789") == std::string::npos && std::stoi(port) >= 1 && std::stoi(port) <= 65535;
}

static std::vector<std::string> seedAddresses()
{
    if (FLAGS_seeds.empty())
        return {};
    const Poco::StringTokenizer parts { FLAGS_seeds, "," };
    return { parts.begin(), parts.end() };
}

static void checkSeeds(std::vector<std::string>& problems)
{
    constexpr std::size_t mostSeeds = 64;
    const std::vector<std::string> seeds = seedAddresses();
    if (seeds.size() > mostSeeds)
        problems.push_back("--seeds names " + std::to_string(seeds.size()) + " addresses, more than " + std::to_string(mostSeeds));
    for (const std::string& seed : seeds) {
        if (!isAddressWithPort(seed))
            problems.push_back("--seeds: '" + seed + "' is not an IP number and port");
    }
}

static void checkValues(std::vector<std::string>& problems)
{
    requireText("name", FLAGS_name, problems);
    requireText("zone", FLAGS_zone, problems);
    requireText("region", FLAGS_region, problems);
    Poco::Net::IPAddress address;
    if (!Poco::Net::IPAddress::tryParse(FLAGS_address, address))
        problems.push_back("--address=" + FLAGS_address + " is not an IP number");
    if (!isAddressWithPort(FLAGS_platform))
        problems.push_back("--platform=" + FLAGS_platform + " is not an IP number and port");
    checkSeeds(problems);
    requireRange("http_port", FLAGS_http_port, 0, 65535, problems);
    requireRange("peer_port", FLAGS_peer_port, 0, 65535, problems);
    if (FLAGS_http_port != 0 && FLAGS_http_port == FLAGS_peer_port)
        problems.emplace_back("--http_port and --peer_port are the same");
    requireRange("caller_limit", FLAGS_caller_limit, 1, 65536, problems);
    requireRange("request_limit", FLAGS_request_limit, 1, 65536, problems);
    requireRange("body_limit_bytes", FLAGS_body_limit_bytes, 1024, 64 << 20, problems);
    requireRange("poll_interval_ms", FLAGS_poll_interval_ms, 50, 5000, problems);
    requireRange("term_ms", FLAGS_term_ms, 1000, 60000, problems);
    requireRange("report_lag_ms", FLAGS_report_lag_ms, 0, 60000, problems);
    requireRange("longest_request_seconds", FLAGS_longest_request_seconds, 1, 3600, problems);
    requireRange("drain_seconds", FLAGS_drain_seconds, 1, 7200, problems);
    requireRange("address_keep_seconds", FLAGS_address_keep_seconds, 1, 3600, problems);
    static const std::set<std::string> levels { "trace", "debug", "info", "warn", "err", "off" };
    if (!levels.contains(FLAGS_log_level))
        problems.push_back("--log_level=" + FLAGS_log_level + " is not one of trace, debug, info, warn, err, off");
}

settings_outcome readSettings(int argc, char** argv)
{
    settings_outcome outcome;
    const flag_outcome flags = readFlags(argc, argv, { .flags = ownFlags, .environmentPrefix = "RADISHFLOW_" });
    if (flags.isHelp) {
        outcome.isHelp = true;
        outcome.help = "radishflowd: routes callers' requests to backend servers.\n\nExample:\n  radishflowd --name=d1 --host=h1 --zone=za --region=ra --platform=127.0.0.1:7000\n\nEach flag can also be set as RADISHFLOW_<FLAG IN CAPITALS>; the command line goes first.\n\n" + flags.help;
        return outcome;
    }
    outcome.problems = flags.problems;
    for (const std::string& argument : flags.arguments)
        outcome.problems.push_back("unexpected argument " + argument);
    checkValues(outcome.problems);
    outcome.logLevel = FLAGS_log_level;
    outcome.options = {
        .name = daemon_id { FLAGS_name },
        .host = host_id { FLAGS_host.empty() ? FLAGS_name : FLAGS_host },
        .zone = zone_id { FLAGS_zone },
        .region = region_id { FLAGS_region },
        .address = FLAGS_address,
        .httpPort = static_cast<std::uint16_t>(FLAGS_http_port),
        .peerPort = static_cast<std::uint16_t>(FLAGS_peer_port),
        .platform = FLAGS_platform,
        .seeds = seedAddresses(),
        .callerLimit = FLAGS_caller_limit,
        .requestLimit = FLAGS_request_limit,
        .bodyLimitBytes = static_cast<std::size_t>(FLAGS_body_limit_bytes),
        .pollInterval = std::chrono::milliseconds { FLAGS_poll_interval_ms },
        .termLength = std::chrono::milliseconds { FLAGS_term_ms },
        .reportLag = std::chrono::milliseconds { FLAGS_report_lag_ms },
        .maxRequestDuration = std::chrono::seconds { FLAGS_longest_request_seconds },
        .drainLimit = std::chrono::seconds { FLAGS_drain_seconds },
        .addressKeep = std::chrono::seconds { FLAGS_address_keep_seconds },
    };
    return outcome;
}

} // namespace radishflow
