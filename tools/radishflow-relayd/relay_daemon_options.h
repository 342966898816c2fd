// Declares relay_daemon_options.
#pragma once

#include "platform_settings.h"

#include <cstdint>

namespace radishflow {

struct relay_daemon_options {
    platform_settings platform;
    std::uint16_t metricsPort = 0;
    int workers = 0; ///< Requests that are served at the same time.
};

} // namespace radishflow
