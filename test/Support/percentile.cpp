// Implements percentileOf by partial sorting.
#include "percentile.h"

#include <algorithm>

namespace radishflow {

double percentileOf(std::vector<double> values, double fraction)
{
    if (values.empty())
        return 0;
    const auto position = values.begin() + static_cast<std::ptrdiff_t>(fraction * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), position, values.end());
    return *position;
}

} // namespace radishflow
