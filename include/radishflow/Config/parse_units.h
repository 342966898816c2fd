// Declares the readers and writers of durations and sizes with units.
#pragma once

#include "radishflow/Support/monotonic_clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace radishflow {

/// Reads a whole number with ms, s, min or h, such as "500ms".
std::optional<duration> parseDuration(std::string_view text);

/// Reads a whole number of bytes with B, KiB or MiB, such as "64KiB".
std::optional<std::int64_t> parseSize(std::string_view text);

/// Writes the largest unit that loses nothing; fractions of a millisecond are cut.
std::string formatDuration(duration);

/// Writes the largest unit that loses nothing.
std::string formatSize(std::int64_t bytes);

} // namespace radishflow
