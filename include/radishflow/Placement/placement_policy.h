// Declares the concept of a policy that ranks the servers of a chat.
#pragma once

#include "radishflow/Placement/placement_request.h"
#include "radishflow/Placement/placement_server.h"
#include "radishflow/Placement/server_ranking.h"

#include <concepts>
#include <cstddef>
#include <span>

namespace radishflow {

/// rank(request, servers, maxCount) returns the indices of at most `maxCount` servers in the order in which to try
/// them. The caller sends the request to their owners in turn until one admits it.
template <typename T>
concept placement_policy = requires(
    T& policy, const placement_request& request, std::span<const placement_server> servers, std::size_t maxCount)
{
    {
        policy.rank(request, servers, maxCount)
        } -> std::same_as<server_ranking>;
};

} // namespace radishflow
