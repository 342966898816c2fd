// Declares an engine's cache event.
#pragma once

#include <cstdint>

namespace radishflow {

enum class cache_event_kind : std::uint8_t {
    Stored,
    Removed,
    Cleared, ///< The whole cache is empty; the prefix has no meaning.
};

/// One event; `sequence` grows by one from event to event of an engine, so a jump is a gap.
struct cache_event {
    std::uint64_t sequence = 0;
    cache_event_kind kind = cache_event_kind::Stored;
    std::uint64_t prefix = 0; ///< The chat's hash, see parsePrefixName.
};

} // namespace radishflow
