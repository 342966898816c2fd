// Declares percentileOf.
#pragma once

#include <vector>

namespace radishflow {

/// Returns the value at a share, such as 0.95, of the sorted values; 0 when there are none.
double percentileOf(std::vector<double> values, double share);

} // namespace radishflow
