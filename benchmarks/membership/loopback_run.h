// Declares runLoopback, which measures gossip transports over loopback.
#pragma once

#include <cstddef>

namespace radishflow {

/// Prints the processor time per datagram of `daemons` transports, including system calls.
void runLoopback(std::size_t daemons);

} // namespace radishflow
