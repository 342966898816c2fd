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
    std::string address = "127.0.0.1"; ///< IP number that both interfaces listen on.
    std::uint16_t httpPort = 0;
    std::uint16_t peerPort = 0;
    std::string platform; ///< "IP:port" of the platform's service.
    std::vector<std::string> seeds; ///< "IP:port" of other daemons' peer interfaces, for a start while the platform can't be asked.
    int callerLimit = 1024; ///< Callers' connections at once.
    int requestLimit = 1024; ///< Requests at owned servers at once.
    std::size_t bodyLimitBytes = 1 << 20;
    std::chrono::milliseconds pollInterval { 1000 }; ///< Between looks at the platform.
    std::chrono::milliseconds termLength { 12000 }; ///< How long a renewal lasts; the same at every daemon.
    std::chrono::milliseconds reportLag { 3000 }; ///< Longest time by which an engine's load report is late.
    std::chrono::seconds maxRequestDuration { 120 }; ///< No request runs for longer; the same at every daemon.
    std::chrono::seconds drainLimit { 130 }; ///< Longest graceful stop.
    std::chrono::seconds addressKeep { 4 }; ///< How long callers keep an address answer.
};

} // namespace radishflow
