// Declares how a server's limit is divided among its holder and the holders before it.
#pragma once

#include "radishflow/Terms/residual_share.h"

#include <span>
#include <vector>

namespace radishflow {

/// What each former holder may have at the server, and what that leaves to the present one.
struct limit_division {
    std::vector<int> formerDark; ///< Dark share of each former holder, its window not included.
    int remaining = 0;
};

/// Divides a limit in the order of the terms. Every part grows or stays when the limit grows, so that
/// holders who see different limits keep within the greatest one.
limit_division divideLimit(int limit, std::span<const residual_share> formerHolders, int window);

/// The share that a holder keeps after its term has lapsed.
constexpr int darkShareOf(int whole)
{
    return whole / 2;
}

} // namespace radishflow
