// Declares the encoding of server hints as datagrams.
#pragma once

#include "radishflow/Fleet/server_hints.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace radishflow {

/// Maximum number of hints of each kind in one datagram.
inline constexpr std::size_t maxLoadHints = 80;
inline constexpr std::size_t maxCrashHints = 8;
inline constexpr std::size_t maxPartHints = 12; ///< In a datagram without other hints.
inline constexpr std::size_t maxContactHints = 16;
inline constexpr std::size_t maxLimitHints = 60; ///< In a datagram without other hints.
inline constexpr std::size_t maxDelayHints = 60; ///< In a datagram without other hints.
inline constexpr std::size_t maxPromptHints = 24;
inline constexpr std::size_t maxPromptReports = 70; ///< In a datagram without other hints.
inline constexpr std::size_t maxRolloutNotices = 8;
inline constexpr std::size_t maxRolloutRoutes = 24; ///< In a datagram with the evidence of one roll-out.
inline constexpr std::size_t maxRolloutSamples = 60;

/// Encodes the first hints of each kind, up to its maximum, and drops the others.
std::string encodeHints(const server_hints&);
/// Returns nothing if the bytes are not a valid datagram.
std::optional<server_hints> decodeHints(std::string_view);

} // namespace radishflow
