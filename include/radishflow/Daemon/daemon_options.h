// Declares daemon_options, the settings of one radishflowd.
#pragma once

#include "radishflow/Support/ids.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace radishflow {

/// Settings of a daemon; tools/radishflowd reads them from flags and environment variables.
struct daemon_options {
    daemon_id name;
    host_id host;
    zone_id zone;
    region_id region;
    std::string address = "127.0.0.1"; ///< IP address on which both interfaces listen.
    std::uint16_t httpPort = 0;
    std::uint16_t peerPort = 0;
    std::string platform; ///< "IP:port" of the platform's service.
    std::vector<std::string> seeds; ///< "IP:port" of other daemons' peer interfaces, for a start while the platform is unreachable.
    int callerLimit = 1024; ///< Maximum number of concurrent caller connections.
    int requestLimit = 1024; ///< Maximum number of concurrent requests at owned servers.
    std::size_t bodyLimitBytes = 1 << 20;
    std::chrono::milliseconds pollInterval { 1000 }; ///< Time between two polls of the platform.
    std::chrono::milliseconds termLength { 12000 }; ///< Term length granted by a renewal; the same at every daemon.
    std::chrono::milliseconds reportLag { 3000 }; ///< Maximum delay of an engine's load report.
    std::chrono::seconds maxRequestDuration { 120 }; ///< No request runs for longer; the same at every daemon.
    std::chrono::seconds drainLimit { 130 }; ///< Maximum duration of a graceful stop.
    std::chrono::seconds addressKeep { 4 }; ///< Time for which callers may cache the address list.
};

} // namespace radishflow
