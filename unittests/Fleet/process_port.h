// Declares processPort, a port for daemons that have to use the same one on several loopback addresses.
#pragma once

#include <unistd.h>

namespace radishflow {

/// Returns a port below the ephemeral range that differs between test programs which run at the same time.
inline int processPort()
{
    constexpr int firstPort = 20000;
    constexpr int ports = 8000;
    return firstPort + static_cast<int>(::getpid() % ports);
}

} // namespace radishflow
