// Implements the division of a limit; docs/design/ownership.md has the reasons.
#include "radishflow/Terms/share_arithmetic.h"

#include <algorithm>

namespace radishflow {

limit_division divideLimit(int limit, std::span<const residual_share> formerHolders, int window)
{
    limit_division division { .formerDark = {}, .remaining = std::max(limit, 0) };
    division.formerDark.reserve(formerHolders.size());
    for (const residual_share& share : formerHolders) {
        const int dark = share.running ? *share.running : darkShareOf(division.remaining);
        const int reserved = share.running ? dark : dark + window;
        division.formerDark.push_back(dark);
        division.remaining = std::max(division.remaining - reserved, 0);
    }
    return division;
}

} // namespace radishflow
