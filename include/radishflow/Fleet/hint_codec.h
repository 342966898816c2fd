// Declares the datagrams in which hints travel.
#pragma once

#include "radishflow/Fleet/server_hints.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace radishflow {

/// Hints of each kind that fit into one datagram.
inline constexpr std::size_t mostSharedLoads = 80;
inline constexpr std::size_t mostSharedCrashes = 8;
inline constexpr std::size_t mostSharedHomes = 24;

/// Encodes as many hints as fit.
std::string encodeHints(const server_hints&);
/// Returns nothing for bytes that are no valid datagram.
std::optional<server_hints> decodeHints(std::string_view);

} // namespace radishflow
