// Declares the set of candidate servers that the baseline policies share.
#pragma once

#include "radishflow/Placement/placement_request.h"
#include "radishflow/Placement/placement_server.h"

#include <cstdint>
#include <span>
#include <vector>

namespace radishflow {

/// Returns the indices of the servers that admit the chat in the request's region, or in all other regions when that
/// region has none.
std::vector<std::uint32_t> eligibleServers(const placement_request&, std::span<const placement_server>);

} // namespace radishflow
