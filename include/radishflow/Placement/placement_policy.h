// Declares the concept of a policy that chooses servers for a chat.
#pragma once

#include "radishflow/Placement/placement_request.h"
#include "radishflow/Placement/placement_server.h"
#include "radishflow/Placement/server_ranking.h"

#include <concepts>
#include <cstddef>
#include <span>

namespace radishflow {

/// rank(request, servers, most) returns at most `most` servers in the order in which to try them. The
/// caller asks their owners in turn; the first that admits takes the request.
template <typename T>
concept placement_policy = requires(
    T& policy, const placement_request& request, std::span<const placement_server> servers, std::size_t most)
{
    {
        policy.rank(request, servers, most)
        } -> std::same_as<server_ranking>;
};

} // namespace radishflow
