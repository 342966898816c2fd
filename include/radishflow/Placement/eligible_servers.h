// Declares which servers the baseline policies may choose from.
#pragma once

#include "radishflow/Placement/placement_request.h"
#include "radishflow/Placement/placement_server.h"

#include <cstdint>
#include <span>
#include <vector>

namespace radishflow {

/// Servers that admit the chat in the request's region, or in the others when that region has none.
std::vector<std::uint32_t> eligibleServers(const placement_request&, std::span<const placement_server>);

} // namespace radishflow
