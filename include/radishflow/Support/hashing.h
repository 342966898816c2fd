// Declares the hash functions that daemons must agree on.
#pragma once

#include <cstdint>
#include <string_view>

namespace radishflow {

/// 64-bit hash of bytes, the same on every host and version.
std::uint64_t stableHash(std::string_view bytes, std::uint64_t seed = 0);

/// Hash of two parts that is not the hash of their concatenation.
std::uint64_t stableHash(std::string_view first, std::string_view second);

/// Maps a hash to the open interval (0, 1).
double unitInterval(std::uint64_t hash);

} // namespace radishflow
