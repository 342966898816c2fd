// Declares runVirtual, which measures one fleet size in virtual time.
#pragma once

#include <cstddef>

namespace radishflow {

/// Prints propagation times, bytes by message kind, processor time and memory of a fleet under its usual load.
void runVirtual(std::size_t daemons);

} // namespace radishflow
