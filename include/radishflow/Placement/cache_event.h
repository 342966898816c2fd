// Declares the event that an engine publishes when its prefix cache changes.
#pragma once

#include <cstdint>

namespace radishflow {

enum class cache_event_kind : std::uint8_t {
    Stored,
    Removed,
    Cleared, ///< The whole cache was emptied; `prefix` is ignored.
};

/// One change of an engine's cache. `sequence` grows by one with each event of an engine; a jump means lost events.
struct cache_event {
    std::uint64_t sequence = 0;
    cache_event_kind kind = cache_event_kind::Stored;
    std::uint64_t prefix = 0; ///< Chat hash of the prefix, see parsePrefixName.
};

} // namespace radishflow
