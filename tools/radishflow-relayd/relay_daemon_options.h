// Declares relay_daemon_options, the settings of a relaying daemon.
#pragma once

#include "platform_settings.h"

#include <cstdint>

namespace radishflow {

struct relay_daemon_options {
    platform_settings platform;
    std::uint16_t metricsPort = 0; ///< TCP port of the metrics page.
    int workers = 0; ///< Maximum number of requests served concurrently.
    bool dispatchesFewSlots = false; ///< Whether services with fewer slots than daemons are dispatched where deployments are contended.
};

} // namespace radishflow
