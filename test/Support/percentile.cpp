// Implements percentileOf.
#include "percentile.h"

#include <algorithm>

namespace radishflow {

double percentileOf(std::vector<double> values, double share)
{
    if (values.empty())
        return 0;
    const auto place = values.begin() + static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), place, values.end());
    return *place;
}

} // namespace radishflow
