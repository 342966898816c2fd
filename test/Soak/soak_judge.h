// Declares the judgement of a soak.
#pragma once

#include "soak_evidence.h"

#include <string>
#include <vector>

namespace radishflow {

/// Returns one line for each promise that was broken.
std::vector<std::string> judge(const soak_evidence&);

} // namespace radishflow
