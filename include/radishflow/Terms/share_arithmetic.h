// Declares how a server's limit is divided between its holder and the former holders.
#pragma once

#include "radishflow/Terms/residual_share.h"

#include <span>
#include <vector>

namespace radishflow {

/// The shares of the former holders, and what remains for the current holder.
struct limit_division {
    std::vector<int> formerGraceShares; ///< Grace share of each former holder, without its window.
    int remaining = 0;
};

/// Divides a limit in the order of the terms. Every part is monotonic in the limit, so holders that observe different
/// limits together stay within the highest one.
limit_division divideLimit(int limit, std::span<const residual_share> formerHolders, int window);

/// Returns the share that a holder keeps after its term has lapsed, given what was available to it.
constexpr int graceShareOf(int available)
{
    return available / 2;
}

} // namespace radishflow
