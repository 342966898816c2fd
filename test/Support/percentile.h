// Declares percentileOf, for measurements in benchmarks.
#pragma once

#include <vector>

namespace radishflow {

/// Returns the value at a fraction, such as 0.95, of the sorted values; 0 when there are none.
double percentileOf(std::vector<double> values, double fraction);

} // namespace radishflow
