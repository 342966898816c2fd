// Declares the measurement of transports over loopback.
#pragma once

#include <cstddef>

namespace radishflow {

/// Prints the processor time of real datagrams, system calls included.
void runLoopback(std::size_t daemons);

} // namespace radishflow
