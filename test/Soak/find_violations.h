// Declares findViolations, which checks the evidence of a soak.
#pragma once

#include "soak_evidence.h"

#include <string>
#include <vector>

namespace radishflow {

/// Returns a line of text for each violation of a guarantee. Thread-safe.
std::vector<std::string> findViolations(const soak_evidence&);

} // namespace radishflow
