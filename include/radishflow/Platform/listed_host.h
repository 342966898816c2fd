// Declares listed_host, one entry of the platform's host list.
#pragma once

#include "radishflow/Support/ids.h"

#include <string>

namespace radishflow {

/// A daemon or backend server as the platform lists it; the list lags behind the hosts.
struct listed_host {
    std::string role; ///< "daemon" or "backend".
    std::string name;
    service_id service; ///< Empty for a daemon.
    host_id host;
    zone_id zone;
    region_id region;
    bool leaving = false;
    std::string target; ///< "host:port": a daemon's peer address or a backend server's HTTP address.
    std::string http; ///< "host:port" where a daemon takes callers; empty for a backend server.
};

} // namespace radishflow
