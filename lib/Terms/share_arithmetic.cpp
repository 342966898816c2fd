// Implements the division of a limit; docs/design/ownership.md gives the reasons.
#include "radishflow/Terms/share_arithmetic.h"

#include <algorithm>

namespace radishflow {

limit_division divideLimit(int limit, std::span<const residual_share> formerHolders, int window)
{
    limit_division division { .formerGraceShares = {}, .remaining = std::max(limit, 0) };
    division.formerGraceShares.reserve(formerHolders.size());
    for (const residual_share& share : formerHolders) {
        const int graceShare = share.running ? *share.running : graceShareOf(division.remaining);
        const int reserved = share.running ? graceShare : graceShare + window;
        division.formerGraceShares.push_back(graceShare);
        division.remaining = std::max(division.remaining - reserved, 0);
    }
    return division;
}

} // namespace radishflow
