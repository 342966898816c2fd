// Declares the measurement of one fleet size in virtual time.
#pragma once

#include <cstddef>

namespace radishflow {

/// Prints times, bytes by message kind and processor time of a fleet under its usual load.
void runVirtual(std::size_t daemons);

} // namespace radishflow
