// Declares listed_server, a backend server as its service's list describes it.
#pragma once

#include "radishflow/Support/ids.h"
#include "radishflow/Support/monotonic_clock.h"

#include <cstdint>
#include <string>

namespace radishflow {

struct listed_server {
    server_id id; ///< Names one incarnation at most, never an address.
    service_id service;
    std::string address; ///< "IP:port"; another server may have it later.
    zone_id zone;
    bool isDraining = false;
    int slots = 1; ///< Requests that it runs at the same time.
    time_point coldUntil {};
    time_point listedAt {}; ///< When this daemon first saw it.
    std::int64_t processStartMs = 0; ///< Start of its process in milliseconds of wall-clock time; 0 when it doesn't tell.
};

} // namespace radishflow
