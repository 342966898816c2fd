// Declares the datagrams in which load reports travel.
#pragma once

#include "radishflow/Routing/shared_load.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace radishflow {

/// Reports that fit into one datagram.
inline constexpr std::size_t mostSharedLoads = 100;

/// Encodes the first mostSharedLoads reports.
std::string encodeLoads(const std::vector<shared_load>&);
/// Returns nothing for bytes that are no valid datagram.
std::optional<std::vector<shared_load>> decodeLoads(std::string_view);

} // namespace radishflow
