// Declares listed_server, a backend server as the platform's server list describes it.
#pragma once

#include "radishflow/Support/ids.h"
#include "radishflow/Support/monotonic_clock.h"

#include <cstdint>
#include <string>

namespace radishflow {

struct listed_server {
    server_id id; ///< Identifies at most one incarnation of a server. It is not an address.
    service_id service;
    std::string address; ///< "IP:port". Another server may get the same address later.
    zone_id zone;
    software_version version;
    bool isDraining = false;
    int slots = 1; ///< Requests that the server runs concurrently.
    time_point coldUntil {};
    time_point listedAt {}; ///< Time at which this daemon first saw the server's process listed.
    std::int64_t processStartMs = 0; ///< Start of the server's process in milliseconds of wall-clock time; 0 if the server does not publish it.
    std::uint64_t revision = 0; ///< Of its entry in the platform's table.
};

} // namespace radishflow
